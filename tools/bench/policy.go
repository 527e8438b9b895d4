package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"

	"gooseberryreel/internal/policy"
)

// maxParallelRuns limits the number of concurrent simulations.
const maxParallelRuns = 4

// policyTables writes the policy benchmarks of both sites: mean and standard
// deviation over the seeds, and the ratios for which the goals are set.
func policyTables(w io.Writer) error {
	for _, site := range []policy.Site{policy.Authority(), policy.Staubwissen()} {
		if cli.Site != "" && cli.Site != site.Name {
			continue
		}
		results, err := runPolicies(site, cli.Seeds)
		if err != nil {
			return err
		}
		if err := writeSite(w, site, results); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return nil
}

type outcomesByMode map[policy.Mode][]policy.Outcome

// oracleRuns holds the outcomes of the oracle by seed and placement threshold.
type oracleRuns [][]policy.Outcome

// runPolicies runs every policy with every seed, and the oracle with every
// placement threshold as well.
func runPolicies(site policy.Site, seeds int) (outcomesByMode, error) {
	results := make(outcomesByMode)
	sweep := make(oracleRuns, seeds)
	var g errgroup.Group
	g.SetLimit(maxParallelRuns)
	for seed := range seeds {
		thresholds := site.OracleThresholds()
		sweep[seed] = make([]policy.Outcome, len(thresholds))
		for i, threshold := range thresholds {
			g.Go(func() (err error) {
				sweep[seed][i], err = policy.RunOracle(site, uint64(seed+1), threshold)
				return err
			})
		}
	}
	for _, mode := range policy.Modes {
		results[mode] = make([]policy.Outcome, seeds)
		if mode == policy.Oracle {
			continue
		}
		for seed := range seeds {
			g.Go(func() (err error) {
				results[mode][seed], err = policy.Run(site, mode, uint64(seed+1))
				return err
			})
		}
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	selectOracleRuns(site, results, sweep)
	return results, nil
}

// selectOracleRuns selects for each seed the best run within the tail latency
// bound. The runs of the other policies are candidates too, since an oracle could
// act as they do; so the oracle is an upper bound by construction.
func selectOracleRuns(site policy.Site, results outcomesByMode, sweep oracleRuns) {
	for seed, candidates := range sweep {
		for _, mode := range policy.Modes {
			if mode != policy.Oracle {
				candidates = append(candidates, results[mode][seed])
			}
		}
		results[policy.Oracle][seed], _ = site.BestOracle(candidates, results[policy.NoColocation][seed])
		sweep[seed] = candidates
	}
	for i := range sweep[0] {
		results[sweepMode(i)] = make([]policy.Outcome, len(sweep))
		for seed := range sweep {
			results[sweepMode(i)][seed] = sweep[seed][i]
		}
	}
}

// sweepMode returns the key of the oracle's outcomes at the threshold with index i.
func sweepMode(i int) policy.Mode { return policy.Mode(-1 - i) }

// meanDeviation formats the mean and standard deviation of a value over the seeds.
func meanDeviation(runs []policy.Outcome, value func(policy.Outcome) float64) string {
	mean, deviation := stat.MeanStdDev(valuesOf(runs, value), nil)
	return fmt.Sprintf("%.4g±%.2g", mean, deviation)
}

func valuesOf(runs []policy.Outcome, value func(policy.Outcome) float64) []float64 {
	out := make([]float64, len(runs))
	for i, r := range runs {
		out[i] = value(r)
	}
	return out
}

func ms(d time.Duration) float64 { return d.Seconds() * 1000 }

func p99(o policy.Outcome) float64       { return ms(o.P99) }
func missed(o policy.Outcome) float64    { return o.Missed * 100 }
func finished(o policy.Outcome) float64  { return o.Finished }
func evictions(o policy.Outcome) float64 { return float64(o.Evictions) }

func writeSite(w io.Writer, site policy.Site, r outcomesByMode) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "policy at %s: %d seeds, one compressed day each; mean±standard deviation\n", site.Name, cli.Seeds)
	fmt.Fprintln(t, "policy\tp50 ms\tp99 ms\tp99.9 ms\tmissed %\tbatch core-h\tevictions\tlost core-h\turgent p99 s\turgent max s\t")
	for _, mode := range policy.Modes {
		runs := r[mode]
		fmt.Fprintf(t, "%s\t", mode)
		for _, value := range []func(policy.Outcome) float64{
			func(o policy.Outcome) float64 { return ms(o.P50) }, p99, func(o policy.Outcome) float64 { return ms(o.P999) },
			missed, finished, evictions, func(o policy.Outcome) float64 { return o.Lost },
			func(o policy.Outcome) float64 { return o.UrgentP99.Seconds() }, func(o policy.Outcome) float64 { return o.UrgentMax.Seconds() },
		} {
			fmt.Fprintf(t, "%s\t", meanDeviation(runs, value))
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	writeSweep(t, site, r)
	writeGoals(t, site, r)
	return t.Flush()
}

// writeSweep writes the oracle's outcomes at each placement threshold.
func writeSweep(w io.Writer, site policy.Site, r outcomesByMode) {
	fmt.Fprintln(w, "oracle's placement threshold\tp99 ms\tmissed %\tbatch core-h\tevictions\tseeds within the tail latency bound\tselected\t")
	baseline := r[policy.NoColocation]
	for i, threshold := range site.OracleThresholds() {
		runs := r[sweepMode(i)]
		withinBound, selected := 0, 0
		for seed := range runs {
			if site.MeetsTailBound(runs[seed], baseline[seed]) {
				withinBound++
			}
			if runs[seed] == r[policy.Oracle][seed] {
				selected++
			}
		}
		fmt.Fprintf(w, "%.4g\t%s\t%s\t%s\t%s\t%d\t%d\t\n", threshold, meanDeviation(runs, p99), meanDeviation(runs, missed),
			meanDeviation(runs, finished), meanDeviation(runs, evictions), withinBound, selected)
	}
}

// writeGoals writes mean and standard deviation of the ratios of the system's policy
// to the baselines; a ratio is of two runs with the same seed.
func writeGoals(w io.Writer, site policy.Site, r outcomesByMode) {
	for _, goal := range []struct {
		text  string
		value func(policy.Outcome) float64
		base  policy.Mode
	}{
		{"p99 / (a)  (authority goal <= 1.10)", p99, policy.NoColocation},
		{"missed / (a)  (authority goal <= 1.10)", missed, policy.NoColocation},
		{"batch / (e)  (authority goal >= 0.80)", finished, policy.Oracle},
		{"batch / (b)  (staubwissen goal >= 0.95)", finished, policy.FirstFit},
		{"evictions / (c)  (staubwissen goal <= 0.10)", evictions, policy.FixedEviction},
	} {
		learned, base := valuesOf(r[policy.Learned], goal.value), valuesOf(r[goal.base], goal.value)
		ratios := make([]float64, len(learned))
		for i := range learned {
			ratios[i] = learned[i] / base[i]
		}
		mean, deviation := stat.MeanStdDev(ratios, nil)
		fmt.Fprintf(w, "%s: %.3f±%.3f\n", goal.text, mean, deviation)
	}
	within := 0
	for seed, run := range r[policy.Learned] {
		if site.MeetsTailBound(run, r[policy.NoColocation][seed]) {
			within++
		}
	}
	fmt.Fprintf(w, "seeds of (d) within the tail latency bound: %d of %d\n\n", within, len(r[policy.Learned]))
}
