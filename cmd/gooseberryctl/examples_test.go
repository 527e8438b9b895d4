package main

import (
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/settings"
	"gooseberryreel/internal/standin"
)

// Guards against example files that the programs reject.
func TestExamplesLoad(t *testing.T) {
	for pattern, load := range map[string]func(string) error{
		"*/entry/*.json":          func(file string) error { _, err := settings.LoadEntry(file); return err },
		"*/declarations/*/*.json": func(file string) error { _, err := settings.LoadDeclaration(file); return err },
		"*/standin.json":          func(file string) error { _, err := standin.LoadSite(file); return err },
	} {
		files, err := filepath.Glob(filepath.Join("..", "..", "examples", pattern))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, files, qt.Not(qt.HasLen), 0)
		for _, file := range files {
			qt.Check(t, load(file), qt.IsNil, qt.Commentf("%s", file))
		}
	}
}
