package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// requestScale scales the durations of all request tables; the test of this
// package sets it to shorten them.
var requestScale = 1.0

func scaled(d time.Duration) time.Duration { return time.Duration(float64(d) * requestScale) }

// requestTables writes the tables of the request path: its cost compared with a
// bare relay, and its policies compared with simpler ones.
func requestTables(w io.Writer) error {
	for _, table := range []func(io.Writer) error{relayTable, choiceTable, brownoutTable, overloadTable} {
		if err := table(w); err != nil {
			return err
		}
		fmt.Fprintln(w)
	}
	return nil
}

// newTable writes a title and the header of a table with aligned columns.
func newTable(w io.Writer, title, header string) *tabwriter.Writer {
	fmt.Fprintln(w, title)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, header+"\t")
	return t
}
