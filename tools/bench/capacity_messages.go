package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote/wire"
)

const (
	// exchangesPerSecond and the other rates follow from the default settings.
	exchangesPerSecond = 1.0
	listsPerSecond     = 1.0
	statusPerSecond    = 1.0
	// renewalsPerSecond follows from renewal every third of a 30 s lease.
	renewalsPerSecond = 0.1
	otherDomains      = 5 // at the size planned in two years
)

// messageTables writes the size of messages that grow with a count. Sizes are of
// encoded bodies, without the headers of drpc, HTTP and TCP.
func messageTables(w io.Writer) error {
	for _, table := range []struct {
		title, unit string
		sizes       []int
		columns     []string
		row         func(int) ([]float64, error)
	}{
		{"exchanges of one instance with its domain and with one instance in each of 5 other domains, once per second", "instance of the domain",
			instanceSizes, []string{"messages/s", "sent bytes/s", "answer bytes/s"}, exchangeBytes},
		{"latency digests of one instance, once per second", "target", []int{25, 50, 100, 200},
			[]string{"bytes/s"}, digestBytes},
		{"instance list read by one instance once per second; bytes of the rows of workers and of targets", "row", []int{50, 135, 810, 3200},
			[]string{"worker bytes/s", "target bytes/s"}, listBytes},
		{"worker calls of the owner of the job partition, per worker; status once per second and renewal of all leases every 10 s", "task", []int{5, 10, 19, 40},
			[]string{"calls/s", "status bytes/s", "renewal bytes/s"}, workerBytes},
	} {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintf(t, "\n%s (encoded bodies)\n%s", table.title, table.unit)
		for _, c := range table.columns {
			fmt.Fprintf(t, "\t%s", c)
		}
		fmt.Fprintln(t, "\t")
		var rows [][]float64
		for _, n := range table.sizes {
			row, err := table.row(n)
			if err != nil {
				return err
			}
			fmt.Fprintf(t, "%d", n)
			for _, v := range row {
				fmt.Fprintf(t, "\t%.1f", v)
			}
			fmt.Fprintln(t, "\t")
			rows = append(rows, append(row, float64(n)))
		}
		var columns []column[[]float64]
		for i, name := range table.columns {
			columns = append(columns, column[[]float64]{name, func(row []float64) float64 { return row[i] }})
		}
		writeFits(t, table.unit, rows, func(row []float64) float64 { return row[len(row)-1] }, columns)
		if err := t.Flush(); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return nil
}

func exchangeBytes(n int) ([]float64, error) {
	request := &pb.ExchangeRequest{
		Instance: "perth-hills-entry-1", Incarnation: 1_700_000_000_000_000_000, FailureDomain: "perth-hills",
		PeerAddress: "10.1.1.11:8081", Hlc: 1_700_000_000_000 << 16, ConfigVersion: 100_000,
	}
	reply := &pb.ExchangeReply{
		Instance: request.Instance, Incarnation: request.Incarnation, FailureDomain: request.FailureDomain,
		Hlc: request.Hlc, ConfigVersion: request.ConfigVersion,
	}
	// An average instance owns an equal share of the partitions.
	for i := range (ownedPartitions + n - 1) / n {
		request.Owned = append(request.Owned, &pb.PartitionOwner{Partition: int32(i), Owner: request.Instance, Incarnation: request.Incarnation, Epoch: 100_000})
		reply.Unchallenged = append(reply.Unchallenged, int32(i))
	}
	messages := exchangesPerSecond * float64(n-1+otherDomains)
	return []float64{messages, messages * float64(proto.Size(request)), messages * float64(proto.Size(reply))}, nil
}

func digestBytes(n int) ([]float64, error) {
	request := &pb.ReportLatencyRequest{Instance: "perth-hills-entry-1", Hlc: 1_700_000_000_000 << 16}
	for i := range n {
		request.Digests = append(request.Digests, &pb.LatencyDigest{
			Service: "pickbook", Target: fmt.Sprintf("pickbook-perth-hills-%02d", i), PeriodMs: 1000,
			Requests: 60, Failures: 1, MeanUs: 42_000, P99Us: 180_000, InFlight: 4,
		})
	}
	return []float64{float64(proto.Size(request))}, nil
}

func listBytes(n int) ([]float64, error) {
	var workers, targets wire.Listing
	for i := range n {
		worker := fmt.Sprintf("perth-hills-w%03d", i)
		workers.Instances = append(workers.Instances, wire.Instance{
			Name: worker, Kind: "worker", Domain: "perth-hills", Address: "10.1.1.11:8081", Rack: "perth-hills-r1", State: "live",
			Resources: wire.Resources{CPUMilli: 32_000, MemoryMiB: 128_000, Accelerators: 2},
		})
		targets.Instances = append(targets.Instances, wire.Instance{
			Name: fmt.Sprintf("pickbook-perth-hills-%04d", i), Kind: "target", Domain: "perth-hills", Address: "10.1.1.11:8082",
			State: "live", Service: "pickbook", Worker: worker, Slots: 8, Connections: 64,
		})
	}
	var sizes []float64
	for _, l := range []wire.Listing{workers, targets} {
		data, err := json.Marshal(l)
		if err != nil {
			return nil, errors.Wrap(err, "encode list")
		}
		sizes = append(sizes, listsPerSecond*float64(len(data)))
	}
	return sizes, nil
}

func workerBytes(n int) ([]float64, error) {
	status := wire.WorkerStatus{Worker: "perth-hills-w001", Boot: "1700000000000", UsageAtMS: 1_700_000_000_000, Usage: wire.Resources{CPUMilli: 18_000, MemoryMiB: 60_000}}
	var renew wire.RenewRequest
	for i := range n {
		ref := wire.TaskRef{Job: fmt.Sprintf("perth-hills.018bcfe5-6800-7000-8000-%012d", i), Attempt: 1}
		renew.Tasks = append(renew.Tasks, ref)
		status.Tasks = append(status.Tasks, wire.TaskStatus{
			TaskRef: ref, State: "running", Usage: wire.Resources{CPUMilli: 900, MemoryMiB: 1800}, ThrottlePercent: 100, LeaseLeftMS: 25_000,
		})
	}
	statusBody, err := json.Marshal(status)
	if err != nil {
		return nil, errors.Wrap(err, "encode status")
	}
	renewalBody, err := json.Marshal(renew)
	return []float64{statusPerSecond + renewalsPerSecond, statusPerSecond * float64(len(statusBody)), renewalsPerSecond * float64(len(renewalBody))}, errors.Wrap(err, "encode renewal")
}
