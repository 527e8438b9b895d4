package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// requestScale shortens all request tables; the test of this package sets it.
var requestScale = 1.0

func scaled(d time.Duration) time.Duration { return time.Duration(float64(d) * requestScale) }

// requestTables writes the tables of the request path: its cost against a bare
// relay, and its policies against simpler ones.
func requestTables(w io.Writer) error {
	for _, table := range []func(io.Writer) error{relayTable, choiceTable, brownoutTable, overloadTable} {
		if err := table(w); err != nil {
			return err
		}
		fmt.Fprintln(w)
	}
	return nil
}

// requestTable starts a table with aligned columns.
func newTable(w io.Writer, title, header string) *tabwriter.Writer {
	fmt.Fprintln(w, title)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, header+"\t")
	return t
}
