package history

import (
	"os"

	"github.com/pkg/errors"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/remote/wire"
)

// Limits holds the capacities of workers and the limits of targets.
type Limits struct {
	// Workers maps a worker to its capacity for batch tasks.
	Workers map[string]remote.Resources
	// Targets maps a target to its limits.
	Targets map[string]TargetLimits
}

// TargetLimits are the limits of one target.
type TargetLimits struct {
	Slots       int
	Connections int
	Service     string
	Worker      string
}

// ReadLimits reads the limits from a saved instance list of the platform.
func ReadLimits(file string) (Limits, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Limits{}, errors.Wrap(err, "read instance list")
	}
	_, rows, err := wire.DecodeRows(data)
	if err != nil {
		return Limits{}, errors.Wrapf(err, "%s: decode instance list", file)
	}
	limits := Limits{Workers: map[string]remote.Resources{}, Targets: map[string]TargetLimits{}}
	for _, i := range rows {
		if i.Err != nil || remote.CheckAmounts(i.Instance) != nil {
			continue // of another writer
		}
		switch remote.Kind(i.Kind) {
		case remote.KindWorker:
			limits.Workers[i.Name] = remote.Resources(i.Resources)
		case remote.KindTarget:
			limits.Targets[i.Name] = TargetLimits{Slots: i.Slots, Connections: i.Connections, Service: i.Service, Worker: i.Worker}
		}
	}
	return limits, nil
}

// Reserve subtracts the resources that a service declares per target from the
// capacity of the worker of each of its targets.
func (l Limits) Reserve(service string, declared *pb.Service) {
	for _, target := range l.Targets {
		capacity, ok := l.Workers[target.Worker]
		if target.Service == service && ok {
			l.Workers[target.Worker] = capacity.Sub(remote.ResourcesFrom(declared.GetPerTarget()))
		}
	}
}
