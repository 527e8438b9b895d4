package main

import (
	"fmt"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/settings"
)

type validateCommand struct {
	Files []string `arg:"" name:"file" help:"Declaration files." type:"path"`
}

func (v *validateCommand) run(c *console) int {
	declared, ok := loadAll(c, v.Files)
	if !ok {
		return exitInvalid
	}
	for _, d := range declared {
		fmt.Fprintf(c.stdout, "valid %s\n", d.GetName())
	}
	return exitOK
}

// loadAll loads all files and prints an error for each invalid one and for each
// repeated name. It reports whether there was none.
func loadAll(c *console, files []string) ([]*pb.Declaration, bool) {
	var all []*pb.Declaration
	ok := true
	fileByName := make(map[string]string)
	for _, file := range files {
		d, err := settings.LoadDeclaration(file)
		if err != nil {
			c.errorf("%v", err)
			ok = false
			continue
		}
		if first, found := fileByName[d.GetName()]; found {
			c.errorf("%s: name: %q is already declared in %s", file, d.GetName(), first)
			ok = false
		}
		fileByName[d.GetName()] = file
		all = append(all, d)
	}
	return all, ok
}
