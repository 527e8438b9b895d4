// Command gooseberry-load sends an open-loop load of requests and jobs to entry
// instances and writes a history and a report of latency percentiles.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"gooseberryreel/internal/buildinfo"
	"gooseberryreel/internal/history"
	"gooseberryreel/internal/load"
)

// Exit codes.
const (
	exitOK          = 0
	exitWrongAnswer = 1
	exitUsage       = 2
	exitOutput      = 3
)

type options struct {
	Entry         []string         `help:"Entry instance as DOMAIN=IP:PORT; repeatable." required:""`
	Seed          uint64           `help:"Seed of arrival times, kinds of calls and ids." default:"1"`
	Rate          float64          `help:"Requests per second." default:"100"`
	Duration      time.Duration    `help:"Length of the load, at most 10m." default:"10s"`
	MaxCount      int              `help:"Maximum number of requests, and of jobs." default:"100000"`
	MaxInFlight   int              `help:"Maximum number of calls in flight; further arrivals are counted as dropped." default:"2000"`
	Service       string           `help:"Service to call." default:"pickbook"`
	Team          []string         `help:"Teams that send the requests."`
	Timeout       time.Duration    `help:"Request-Timeout of a request." default:"2s"`
	BodyBytes     int              `help:"Size of a request body." default:"256"`
	NonIdempotent float64          `help:"Fraction of requests that may run at most once." default:"0.5"`
	Duplicates    float64          `help:"Fraction of the non-idempotent requests that are sent again through two other instances." default:"0.1"`
	Late          float64          `help:"Fraction of the non-idempotent requests that have the short timeout and are looked up later." default:"0.05"`
	ShortTimeout  time.Duration    `help:"Request-Timeout of requests that are looked up later." default:"20ms"`
	Job           []string         `help:"Declared batch jobs to submit."`
	JobRate       float64          `help:"Jobs per second." default:"0"`
	Cancel        float64          `help:"Fraction of jobs that are cancelled." default:"0.1"`
	Urgent        float64          `help:"Fraction of jobs that are urgent." default:"0"`
	JobWait       time.Duration    `help:"Maximum wait for the end of jobs after the load." default:"30s"`
	History       string           `help:"File for the history (JSON lines)." type:"path"`
	Report        string           `help:"File for the report as JSON; - for standard output." type:"path"`
	Version       kong.VersionFlag `help:"Print the version and exit."`
}

const maxDuration = 10 * time.Minute

// Validate returns an error for options out of their ranges. kong calls it after
// parsing.
func (o *options) Validate() error {
	if o.Duration <= 0 || o.Duration > maxDuration {
		return errors.Errorf("--duration: %v is not between 0 and %v", o.Duration, maxDuration)
	}
	for name, fraction := range map[string]float64{"non-idempotent": o.NonIdempotent, "duplicates": o.Duplicates, "late": o.Late, "cancel": o.Cancel, "urgent": o.Urgent} {
		if fraction < 0 || fraction > 1 {
			return errors.Errorf("--%s: %v is not between 0 and 1", name, fraction)
		}
	}
	if o.MaxCount <= 0 || o.MaxInFlight <= 0 || o.BodyBytes < 0 || o.Timeout <= 0 || o.ShortTimeout <= 0 {
		return errors.New("--max-count, --max-in-flight, --timeout and --short-timeout must be positive, --body-bytes not negative")
	}
	_, err := o.entries()
	return err
}

func (o *options) entries() ([]load.Entry, error) {
	var entries []load.Entry
	for _, text := range o.Entry {
		domain, address, ok := strings.Cut(text, "=")
		if !ok || domain == "" || address == "" {
			return nil, errors.Errorf("--entry: %q is not DOMAIN=IP:PORT", text)
		}
		entries = append(entries, load.Entry{Domain: domain, Address: address})
	}
	return entries, nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var opts options
	parser, err := kong.New(&opts, kong.Name("gooseberry-load"), kong.Writers(stdout, stderr),
		kong.Description("Sends an open-loop load. Exit codes: 0 sent, 1 an answer did not belong to its request, 2 usage, 3 a file could not be written."),
		kong.Vars{"version": buildinfo.Version})
	if err == nil {
		_, err = parser.Parse(args)
	}
	if err != nil {
		fmt.Fprintln(stderr, "gooseberry-load:", err)
		return exitUsage
	}
	report, err := opts.load(ctx)
	if err == nil {
		err = opts.write(report, stdout)
	}
	if err != nil {
		fmt.Fprintln(stderr, "gooseberry-load:", err)
		return exitOutput
	}
	if report.Wrong > 0 {
		return exitWrongAnswer
	}
	return exitOK
}

func (o *options) load(ctx context.Context) (report load.Report, err error) {
	var out *history.Writer
	if o.History != "" {
		file, err := os.Create(o.History)
		if err != nil {
			return report, errors.Wrap(err, "create history")
		}
		defer file.Close()
		out = history.NewWriter(file)
	}
	entries, err := o.entries()
	if err != nil {
		return report, err
	}
	client := load.NewClient("load", out)
	report = load.Run(ctx, load.Options{
		Entries: entries, Seed: o.Seed, Rate: o.Rate, JobRate: o.JobRate, Duration: o.Duration,
		MaxCount: o.MaxCount, MaxInFlight: o.MaxInFlight, Service: o.Service, Teams: o.Team, Timeout: o.Timeout,
		BodyBytes: o.BodyBytes, NonIdempotent: o.NonIdempotent, Duplicates: o.Duplicates, Late: o.Late,
		ShortTimeout: o.ShortTimeout, Jobs: o.Job, Cancel: o.Cancel, Urgent: o.Urgent, JobWait: o.JobWait,
	}, client)
	err = client.Close()
	if out != nil && err == nil {
		err = out.Flush()
	}
	return report, err
}

func (o *options) write(report load.Report, stdout io.Writer) error {
	if err := report.WriteText(stdout); err != nil {
		return errors.Wrap(err, "write report")
	}
	if o.Report == "" {
		return nil
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	data = append(data, '\n')
	if o.Report == "-" {
		_, err = stdout.Write(data)
	} else {
		err = os.WriteFile(o.Report, data, 0o644)
	}
	return errors.Wrap(err, "write report")
}
