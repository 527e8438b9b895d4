package history

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/remote"
)

// Guards against one odd row that hides the limits of all other instances, and against
// amounts that overflow sums.
func TestReadLimitsLeavesOddRowsOut(t *testing.T) {
	const worker = `{"name":"w","kind":"worker","cpu_milli":4000,"memory_mib":8192,"accelerators":1}`
	const target = `{"name":"t","kind":"target","service":"s","worker":"w","slots":2,"connections":3}`
	nested := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	rows := []string{nested, "5", "null", `{"name":"odd","kind":` + nested + "}", `{"name":` + nested + "}"}
	for _, field := range []string{"cpu_milli", "memory_mib", "accelerators", "slots", "connections"} {
		for _, value := range []string{nested, "1e300", "1e400", "9223372036854775808", "1125899906842624", "-1"} {
			for _, kind := range []string{"worker", "target"} {
				rows = append(rows, `{"name":"odd","kind":"`+kind+`","`+field+`":`+value+"}")
			}
		}
	}
	file := filepath.Join(t.TempDir(), "instances.json")
	for _, row := range rows {
		qt.Assert(t, os.WriteFile(file, []byte(`{"as_of_ms":1,"instances":[`+worker+","+row+","+target+"]}"), 0o600), qt.IsNil)
		limits, err := ReadLimits(file)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%.80s", row))
		qt.Check(t, limits.Workers, qt.DeepEquals, map[string]remote.Resources{"w": {CPUMilli: 4000, MemoryMiB: 8192, Accelerators: 1}}, qt.Commentf("%.80s", row))
		qt.Check(t, limits.Targets, qt.DeepEquals, map[string]TargetLimits{"t": {Slots: 2, Connections: 3, Service: "s", Worker: "w"}}, qt.Commentf("%.80s", row))
	}
}
