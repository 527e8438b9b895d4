package entry

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of the control goroutine and its I/O.
type metrics struct {
	appendedRecords, appendFailures, encodeFailures prometheus.Counter
	readRecords, readFailures, listFailures         prometheus.Counter
	configFetches, reportFailures                   prometheus.Counter
	droppedRecords, configRecords                   *prometheus.CounterVec
	exchanges, handOvers                            *prometheus.CounterVec
	owned, acting, configVersion, listUnreadable    prometheus.Gauge
	snapshotMissing                                 *prometheus.GaugeVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		r.MustRegister(c)
		return c
	}
	vector := func(name, help, label string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
		r.MustRegister(c)
		return c
	}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
		r.MustRegister(g)
		return g
	}
	missing := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "log_snapshot_missing", Help: "1 while records of the stream are trimmed and no snapshot that covers them has been read.",
	}, []string{"stream"})
	r.MustRegister(missing)
	return &metrics{
		snapshotMissing: missing,
		appendedRecords: counter("log_appended_records_total", "Records that the log confirmed."),
		appendFailures:  counter("log_append_failures_total", "Appends that the log did not confirm."),
		encodeFailures:  counter("log_unencodable_records_total", "Records that could not be encoded."),
		readRecords:     counter("log_read_records_total", "Records read from the log."),
		readFailures:    counter("log_read_failures_total", "Reads of the log that failed."),
		listFailures:    counter("list_read_failures_total", "Reads of the instance list that failed."),
		configFetches:   counter("config_peer_fetches_total", "Configurations fetched from peers that changed this instance's configuration."),
		reportFailures:  counter("latency_report_failures_total", "Latency reports that the owner of the job partition did not confirm."),
		droppedRecords:  vector("control_dropped_records_total", "Job records dropped as duplicates or for a stale epoch.", "reason"),
		configRecords:   vector("config_records_total", "Records of the configuration stream.", "result"),
		exchanges:       vector("peer_exchanges_total", "Exchanges with peers.", "result"),
		handOvers:       vector("partition_hand_overs_total", "Hand-overs of a partition's state to its next owner.", "result"),
		owned:           gauge("partitions_owned", "Partitions that this instance owns."),
		acting:          gauge("partitions_acting", "Partitions in which this instance may start new work."),
		listUnreadable:  gauge("list_unreadable_rows", "Rows of the newest instance list that are left out since they can't be read."),
		configVersion:   gauge("config_version_offset", "Offset of the newest accepted configuration record."),
	}
}
