package main

import (
	"fmt"
	"io"
	"sort"
	"time"
)

// modelSeeds are the same for all policies of a table.
var modelSeeds = []uint64{1, 2, 3, 4, 5}

func runModel(p requestPolicy, l requestLoad) []modelResult {
	l.duration = scaled(l.duration)
	l.brownoutStart, l.brownoutEnd = scaled(l.brownoutStart), scaled(l.brownoutEnd)
	var results []modelResult
	for _, seed := range modelSeeds {
		results = append(results, newRequestModel(p, l, seed).run())
	}
	return results
}

// formatSpread formats the median, minimum and maximum over the seeds.
func formatSpread(results []modelResult, of func(modelResult) float64) string {
	var values []float64
	for _, r := range results {
		values = append(values, of(r))
	}
	sort.Float64s(values)
	return fmt.Sprintf("%.1f (%.1f-%.1f)", values[len(values)/2], values[0], values[len(values)-1])
}

func quantileMS(q float64) func(modelResult) float64 {
	return func(r modelResult) float64 { return float64(quantileOf(r.latencies, q)) / float64(time.Millisecond) }
}

func choiceTable(w io.Writer) error {
	load := requestLoad{
		targets: 50, slots: 8, service: 20 * time.Millisecond, rate: 0.8, deadline: 5 * time.Second,
		duration: 6 * time.Second, slowFraction: 0.1, slowFactor: 1.15,
	}
	t := newTable(w, "Target selection (model): 50 targets with 8 slots, 10 % of them 15 % slower, offered load 80 % of\nthe slots at full speed, five seeds. Median (minimum-maximum) over the seeds.",
		"selection\tp50 ms\tp99 ms\tmissed 5 s deadline %")
	for _, p := range []requestPolicy{
		{name: "random, queue per target", targetChoice: "random", queuePerTarget: true},
		{name: "round robin, queue per target", targetChoice: "robin", queuePerTarget: true},
		{name: "two choices, queue per target", targetChoice: "two", queuePerTarget: true},
		{name: "two choices, shared queue (in use)", earlyRefusal: true},
	} {
		p.attempts = 1
		results := runModel(p, load)
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t\n", p.name, formatSpread(results, quantileMS(0.5)), formatSpread(results, quantileMS(0.99)),
			formatSpread(results, func(r modelResult) float64 { return 100 * float64(r.missed+r.refused) / float64(max(r.requests, 1)) }))
	}
	return t.Flush()
}

func brownoutTable(w io.Writer) error {
	load := requestLoad{
		targets: 20, slots: 8, service: 20 * time.Millisecond, rate: 0.6, deadline: 400 * time.Millisecond,
		attemptTimeout: 130 * time.Millisecond, duration: 20 * time.Second,
		brownoutStart: 4 * time.Second, brownoutEnd: 10 * time.Second, brownoutFactor: 2.5,
	}
	t := newTable(w, "Retries in a brownout (model): 20 targets with 8 slots, offered load 60 %, service times 2.5 times as\nlong for 6 s of 20 s, deadline 400 ms, up to 3 attempts with a timeout of 130 ms each; an attempt that timed out keeps its slot. Median (minimum-maximum), five seeds.",
		"retries\tgoodput %\trefused %\tattempts per request\tp99 ms")
	for _, p := range []requestPolicy{
		{name: "none", attempts: 1},
		{name: "naive", attempts: 3},
		{name: "budget of 10 % of requests", attempts: 3, budget: budgetOfRequests},
		{name: "budget of 10 % of answers", attempts: 3, budget: budgetOfAnswers},
		{name: "budget of requests, none while requests wait", attempts: 3, budget: budgetOfRequests, onlyWithoutQueue: true},
		{name: "budget of answers, none while requests wait", attempts: 3, budget: budgetOfAnswers, onlyWithoutQueue: true},
		{name: "none, early refusal", attempts: 1, earlyRefusal: true},
		{name: "naive, early refusal", attempts: 3, earlyRefusal: true},
		{name: "budget of requests, early refusal", attempts: 3, budget: budgetOfRequests, earlyRefusal: true},
		{name: "answers, none while waiting, early refusal (in use)", attempts: 3, budget: budgetOfAnswers, onlyWithoutQueue: true, earlyRefusal: true},
	} {
		results := runModel(p, load)
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t\n", p.name, formatSpread(results, share(func(r modelResult) int { return r.answered })),
			formatSpread(results, share(func(r modelResult) int { return r.refused })),
			formatSpread(results, func(r modelResult) float64 { return float64(r.attempts) / float64(max(r.requests, 1)) }),
			formatSpread(results, quantileMS(0.99)))
	}
	return t.Flush()
}

func share(of func(modelResult) int) func(modelResult) float64 {
	return func(r modelResult) float64 { return 100 * float64(of(r)) / float64(max(r.requests, 1)) }
}

func overloadTable(w io.Writer) error {
	load := requestLoad{
		targets: 20, slots: 8, service: 20 * time.Millisecond, rate: 1.5, deadline: 100 * time.Millisecond, duration: 8 * time.Second,
	}
	t := newTable(w, "Overload of 1.5 times the capacity (model): 20 targets with 8 slots, deadline 100 ms, so at most\n66.7 % can be answered. Median (minimum-maximum), five seeds.",
		"policy\tgoodput %\trefused %\tmissed %\trefusal p50 ms\tanswer p99 ms")
	for _, p := range []requestPolicy{
		{name: "late timeout", attempts: 1},
		{name: "early refusal (in use)", attempts: 1, earlyRefusal: true},
	} {
		results := runModel(p, load)
		refusal := func(r modelResult) float64 { return float64(quantileOf(r.refusals, 0.5)) / float64(time.Millisecond) }
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t\n", p.name,
			formatSpread(results, share(func(r modelResult) int { return r.answered })),
			formatSpread(results, share(func(r modelResult) int { return r.refused })),
			formatSpread(results, share(func(r modelResult) int { return r.missed })),
			formatSpread(results, refusal), formatSpread(results, quantileMS(0.99)))
	}
	return t.Flush()
}
