package main

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/config"
	"gooseberryreel/internal/ownership"
	"gooseberryreel/internal/pb"
)

var (
	declarationSizes = []int{200, 500, 1000, 2000}
	instanceSizes    = []int{3, 6, 9, 18}
	partitionSizes   = []int{13, 25, 49, 97}
)

const (
	// changesPerDay is the number of configuration changes per day at the size
	// planned in two years.
	changesPerDay = 320
	// partitionInstances is the number of instances in the table by partitions.
	partitionInstances = 9

	ownedPartitions = 25 // 24 request partitions and the job partition
	// ownershipPeriod is long enough for all partitions to be claimed.
	ownershipPeriod = 60 * time.Second
	ownershipTick   = 50 * time.Millisecond
)

// stateTables writes the cost of the configuration by number of declarations, and
// of the ownership records by instances and by partitions.
func stateTables(w io.Writer) error {
	if err := configTable(w); err != nil {
		return err
	}
	return ownershipTables(w)
}

// configCost is the cost of the configuration at one number of declarations.
type configCost struct {
	declarations                                                           int
	stateBytes, replayMS, recordBytes, snapshotBytes, restoreMS, changesMS float64
}

// configTable measures the replay of the configuration stream, the restore of a
// snapshot, and the replay of one day's changes after it.
func configTable(w io.Writer) error {
	var costs []configCost
	for _, n := range declarationSizes {
		c, err := measureConfig(n)
		if err != nil {
			return err
		}
		costs = append(costs, c)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\nconfiguration: replay of all records, restore of a snapshot, and replay of %d changes\n", changesPerDay)
	fmt.Fprintln(t, "declarations\tstate bytes\treplay ms\trecord bytes\tsnapshot bytes\trestore ms\tchanges ms\t")
	for _, c := range costs {
		fmt.Fprintf(t, "%d\t%.0f\t%.2f\t%.0f\t%.0f\t%.2f\t%.2f\t\n", c.declarations, c.stateBytes, c.replayMS, c.recordBytes, c.snapshotBytes, c.restoreMS, c.changesMS)
	}
	writeFits(t, "declaration", costs, func(c configCost) float64 { return float64(c.declarations) }, []column[configCost]{
		{"state bytes", func(c configCost) float64 { return c.stateBytes }},
		{"replay ms", func(c configCost) float64 { return c.replayMS }},
		{"record bytes", func(c configCost) float64 { return c.recordBytes }},
		{"snapshot bytes", func(c configCost) float64 { return c.snapshotBytes }},
		{"restore ms", func(c configCost) float64 { return c.restoreMS }},
		{"changes ms", func(c configCost) float64 { return c.changesMS }},
	})
	return t.Flush()
}

func measureConfig(n int) (configCost, error) {
	c := configCost{declarations: n}
	before := heapBytes()
	s := config.NewState()
	for i := range n {
		rec := declarationRecord(i)
		c.recordBytes += float64(proto.Size(rec))
		begin := time.Now()
		s.Apply(int64(i), rec)
		c.replayMS += ms(time.Since(begin))
	}
	if got := len(s.Accepted()); got != n {
		return c, errors.Errorf("%d of %d declarations were accepted", got, n)
	}
	c.stateBytes = float64(heapBytes()) - float64(before)
	if err := c.measureStartup(s, int64(n)); err != nil {
		return c, err
	}
	runtime.GC()
	for i := range changesPerDay {
		rec := declarationRecord(i % n)
		rec.GetConfig().PublishId += fmt.Sprintf("/%d", i)
		rec.GetConfig().Base = s.Newest(rec.GetConfig().GetName()).GetOffset()
		begin := time.Now()
		result := s.Apply(int64(n+i), rec)
		c.changesMS += ms(time.Since(begin))
		if result != config.Accepted {
			return c, errors.Errorf("change %d was not accepted: %s", i, result)
		}
	}
	runtime.KeepAlive(s)
	return c, nil
}

// measureStartup restores a new state from the encoded snapshot of s.
func (c *configCost) measureStartup(s *config.State, end int64) error {
	var encoded [][]byte
	for _, rec := range s.SnapshotRecords(end, "bench") {
		data, err := proto.Marshal(rec)
		if err != nil {
			return errors.Wrap(err, "encode snapshot")
		}
		encoded = append(encoded, data)
		c.snapshotBytes += float64(len(data))
	}
	var err error
	c.restoreMS, err = fastestMS(func() (time.Duration, error) { return restoreConfig(encoded, end, c.declarations) })
	return err
}

func restoreConfig(encoded [][]byte, end int64, want int) (time.Duration, error) {
	restored := config.NewState()
	restored.MarkTrimmed(end)
	begin := time.Now()
	for i, data := range encoded {
		rec := &pb.StreamRecord{}
		if err := proto.Unmarshal(data, rec); err != nil {
			return 0, errors.Wrap(err, "decode snapshot")
		}
		restored.Apply(end+int64(i), rec)
	}
	took := time.Since(begin)
	if got := len(restored.Accepted()); got != want {
		return 0, errors.Errorf("%d of %d declarations were restored", got, want)
	}
	return took, nil
}

func declarationRecord(i int) *pb.StreamRecord {
	name := fmt.Sprintf("team-%05d", i)
	return &pb.StreamRecord{Id: fmt.Sprintf("publish-018bcfe5-6800-7000-8000-%012d", i), Author: "publish", Body: &pb.StreamRecord_Config{Config: &pb.ConfigRecord{
		PublishId: fmt.Sprintf("publish-018bcfe5-6800-7000-8000-%012d", i), Name: name, Base: -1,
		Content: &pb.Declaration{Name: name, Body: &pb.Declaration_Team{Team: &pb.Team{
			Quota: &pb.Resources{CpuMilli: 64_000, MemoryMib: 131_072}, MaxQueuedJobs: 500, MaxQueuedRequests: 500,
		}}},
	}}}
}

// ownershipCost is the cost of ownership in a domain: state and CPU per instance, and
// records and bytes of the control stream per second.
type ownershipCost struct {
	size                                                               int
	stateBytes, cpuPercent, records, bytes, steadyRecords, steadyBytes float64
}

// ownershipTables measures the cost of ownership by number of instances and by
// number of partitions.
func ownershipTables(w io.Writer) error {
	for _, table := range []struct {
		unit  string
		sizes []int
		run   func(int) (ownershipCost, error)
	}{
		{"instance", instanceSizes, func(n int) (ownershipCost, error) { return measureOwnership(n, n, ownedPartitions) }},
		{"partition", partitionSizes, func(n int) (ownershipCost, error) { return measureOwnership(n, partitionInstances, n) }},
	} {
		var costs []ownershipCost
		for _, n := range table.sizes {
			c, err := table.run(n)
			if err != nil {
				return err
			}
			costs = append(costs, c)
		}
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintf(t, "\nownership and control stream of a domain by %ss (%d partitions in the table by instances, %d instances in the table by partitions); %s from the start, then steady\n",
			table.unit, ownedPartitions, partitionInstances, ownershipPeriod)
		fmt.Fprintf(t, "%ss\tstate bytes per instance\tCPU %% averaged per instance\trecords/s from start\tbytes/s from start\tsteady records/s\tsteady bytes/s\t\n", table.unit)
		for _, c := range costs {
			fmt.Fprintf(t, "%d\t%.0f\t%.3f\t%.2f\t%.0f\t%.2f\t%.0f\t\n", c.size, c.stateBytes, c.cpuPercent, c.records, c.bytes, c.steadyRecords, c.steadyBytes)
		}
		writeFits(t, table.unit, costs, func(c ownershipCost) float64 { return float64(c.size) }, []column[ownershipCost]{
			{"state bytes per instance", func(c ownershipCost) float64 { return c.stateBytes }},
			{"CPU % averaged per instance", func(c ownershipCost) float64 { return c.cpuPercent }},
			{"bytes/s from start", func(c ownershipCost) float64 { return c.bytes }},
			{"steady records/s", func(c ownershipCost) float64 { return c.steadyRecords }},
			{"steady bytes/s", func(c ownershipCost) float64 { return c.steadyBytes }},
		})
		if err := t.Flush(); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return nil
}

func measureOwnership(size, instances, partitions int) (ownershipCost, error) {
	before := heapBytes()
	d := newOwnershipDomain(instances, partitions)
	for d.elapsed < ownershipPeriod {
		d.step()
	}
	if owned := d.owned(); owned != partitions {
		return ownershipCost{}, errors.Errorf("%d instances own %d of %d partitions", instances, owned, partitions)
	}
	seconds := ownershipPeriod.Seconds()
	c := ownershipCost{
		size:       size,
		stateBytes: (float64(heapBytes()) - float64(before)) / float64(instances),
		cpuPercent: 100 * d.coreTime.Seconds() / seconds / float64(instances),
		records:    float64(d.records) / seconds,
		bytes:      float64(d.bytes) / seconds,
	}
	records, bytes := d.records, d.bytes
	for d.elapsed < 2*ownershipPeriod {
		d.step()
	}
	c.steadyRecords, c.steadyBytes = float64(d.records-records)/seconds, float64(d.bytes-bytes)/seconds
	runtime.KeepAlive(d)
	return c, nil
}

// ownershipDomain simulates the ownership cores of one failure domain, which share a
// control stream without faults.
type ownershipDomain struct {
	cores    []*ownership.Core
	names    map[string]bool
	now      time.Time
	elapsed  time.Duration
	offset   int64
	records  int
	bytes    int
	coreTime time.Duration
}

func newOwnershipDomain(n, partitions int) *ownershipDomain {
	d := &ownershipDomain{now: time.UnixMilli(1_700_000_000_000), names: make(map[string]bool)}
	for i := range n {
		name := fmt.Sprintf("entry-%02d", i)
		d.names[name] = true
		d.cores = append(d.cores, ownership.New(ownership.Options{
			Self: ownership.ID{Name: name, Incarnation: uint64(i + 1)}, PeerAddress: "127.0.0.1:1", Partitions: partitions,
			Lease: 3 * time.Second, HeartbeatInterval: time.Second, UnlistedGrace: time.Minute, RefusedProvesGone: true,
		}))
	}
	return d
}

func (d *ownershipDomain) step() {
	d.elapsed += ownershipTick
	d.now = d.now.Add(ownershipTick)
	var appended []*pb.StreamRecord
	begin := time.Now()
	for _, c := range d.cores {
		if d.elapsed%time.Second == 0 {
			c.ApplyListing(d.now, d.names)
		}
		appended = append(appended, c.Tick(d.now)...)
	}
	for _, rec := range appended {
		for _, c := range d.cores {
			c.ApplyRecord(d.now, d.offset, rec)
		}
		d.offset++
	}
	for _, c := range d.cores {
		c.UpdateReadPosition(d.now, d.offset, d.offset)
	}
	d.coreTime += time.Since(begin)
	for _, rec := range appended {
		d.records++
		d.bytes += proto.Size(rec)
	}
}

func (d *ownershipDomain) owned() int {
	total := 0
	for _, c := range d.cores {
		total += len(c.Owned())
	}
	return total
}
