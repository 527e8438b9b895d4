// Command bench prints the benchmark tables of make bench: the request path, the
// policy benchmarks, and the cost of the system by size with least-squares slopes.
package main

import (
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

var cli struct {
	Tables []string `help:"Tables to print: requests, policy, capacity. Default: all." enum:"requests,policy,capacity" default:"requests,policy,capacity"`
	Seeds  int      `help:"Number of seeds of the policy benchmarks." default:"5"`
	Site   string   `help:"Site of the policy benchmarks; all if empty." enum:"authority,staubwissen,," default:""`
}

func main() {
	ctx := kong.Parse(&cli, kong.Name("bench"), kong.Description("Prints benchmark tables."))
	ctx.FatalIfErrorf(run(os.Stdout))
}

func run(w io.Writer) error {
	tables := map[string]func(io.Writer) error{
		"requests": requestTables,
		"policy":   policyTables,
		"capacity": capacityTables,
	}
	for _, name := range cli.Tables {
		if err := tables[name](w); err != nil {
			return errors.Wrapf(err, "table %s", name)
		}
	}
	return nil
}
