package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/leader"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
	"gooseberryreel/internal/store"
)

const (
	// ownerTTL is when an owner that sends nothing is no longer listed. It
	// bounds the time of a takeover, and from below how long an owner may stall.
	ownerTTL = 1500 * time.Millisecond
	// ownerRenewal lets three renewals fail before the owner is unlisted.
	ownerRenewal = 400 * time.Millisecond
	// memberTTL and memberRenewal are those of the group of all instances, which
	// is read only when there is no owner.
	memberTTL     = 4 * time.Second
	memberRenewal = time.Second
	// ownerLook is how often an instance looks whether there is an owner.
	ownerLook = 500 * time.Millisecond
	// vacantLook replaces ownerLook while no owner is listed. It is below
	// claimStagger, so that candidates claim in the order of their ranks.
	vacantLook = 200 * time.Millisecond
	// claimVacancy, claimStagger and claimSettle: see leader.Settings.
	// An owner that the store has dropped is listed again within ownerRenewal.
	claimVacancy = 500 * time.Millisecond
	claimStagger = 400 * time.Millisecond
	claimSettle  = 600 * time.Millisecond
	// claimUnlisted covers two renewals of each member, after which the list of
	// candidates holds all that have started.
	claimUnlisted = 2500 * time.Millisecond
	// claimSmall lets five larger instances claim first.
	claimSmall = 2 * time.Second
	// yieldAfter is above memberTTL, so that the larger instance is alive.
	yieldAfter = 5 * time.Second
	// epochBits is the part of an epoch that tells claims of the same
	// generation apart: two claimers must not share an epoch, since the store
	// takes the second's appends as repetitions of the first's.
	epochBits = 20
	// claimTries bounds the appends of one claim.
	claimTries = 5
	// ownerKey is the key of the owner's record. Ids of jobs have 16 digits.
	ownerKey  = "owner"
	pairsKey  = "interference"
	ownerName = "owner" // of the store's producer
)

var (
	ownerGroup  = store.Group{Name: "owner", Topics: 1}
	memberGroup = store.Group{Name: "instances", Topics: 6}
)

// member is what a member of a group tells of itself in its name.
type member struct {
	Instance string `json:"i"`
	Address  string `json:"a"`
	CPUMilli int64  `json:"c,omitempty"`
	Epoch    int64  `json:"e,omitempty"`
}

func (m member) name() string {
	data, err := json.Marshal(m)
	if err != nil {
		return m.Instance // a struct of strings and numbers always encodes
	}
	return string(data)
}

// takePart keeps the instance listed and claims the ownership when it is due,
// until stop ends. work outlives stop.
func (i *Instance) takePart(stop, work context.Context) {
	self := leader.Candidate{Instance: i.settings.GetInstance(), Address: i.peerAddress(), CPUMilli: i.cpuMilli()}
	times := leader.Settings{VacancyDelay: claimVacancy, StaggerDelay: claimStagger, SettleTime: claimSettle, UnlistedDelay: claimUnlisted, SmallMachineDelay: claimSmall, YieldDelay: yieldAfter}
	elector := leader.New(self, times)
	me := member{Instance: self.Instance, Address: self.Address, CPUMilli: self.CPUMilli}.name()
	var listed sync.WaitGroup
	listed.Go(func() { i.stayListed(stop, work, me) })
	defer listed.Wait()
	for stop.Err() == nil {
		i.look(stop, elector)
		pause := ownerLook
		if elector.OwnerMissing() {
			pause = vacantLook
		}
		if i.config.Load() != nil && elector.ClaimDue(time.Now()) {
			candidates, err := i.candidates(stop)
			if err == nil && elector.ShouldClaim(candidates, time.Now()) {
				i.claim(stop, work, leader.New(self, times))
				elector.RestartWait(time.Now())
				continue
			}
		}
		sleep(stop, pause-time.Duration(rand.Int64N(int64(pause/5))))
	}
}

// cpuMilli returns the processor share of the machine.
func (i *Instance) cpuMilli() int64 { return int64(i.settings.GetCpuShare() * 1000) }

// stayListed keeps the instance in the group of candidates until stop ends, also
// while it is the owner: its rank matters again if its process is restarted.
func (i *Instance) stayListed(stop, work context.Context, me string) {
	for stop.Err() == nil {
		pause := memberRenewal
		if err := i.store.Join(stop, memberGroup, me, memberTTL); err != nil {
			pause = ownerLook // counted and logged by observedStore
		}
		sleep(stop, pause)
	}
	if err := i.store.Leave(work, memberGroup, me); err != nil {
		i.log.WithField("event", "leave failed").WithError(err).Warn("membership")
	}
}

// look learns who owns the job state.
func (i *Instance) look(ctx context.Context, elector *leader.Elector) {
	newest, err := i.newestOwner(ctx)
	if err != nil {
		elector.LookupFailed()
		return
	}
	elector.LookupSucceeded(newest != nil, time.Now())
	if newest != nil {
		i.setOwner(newest)
		elector.SetOwnerCPU(newest.GetCpuMilli())
	}
}

// lookForNewer learns of an owner that has replaced this one.
func (i *Instance) lookForNewer(ctx context.Context) {
	newest, err := i.newestOwner(ctx)
	if err != nil || newest == nil {
		return // the next look, an append or a worker will tell
	}
	i.setOwner(newest)
}

// newestOwner returns the listed owner with the newest epoch, nil for none.
func (i *Instance) newestOwner(ctx context.Context) (*pb.OwnerRecord, error) {
	members, err := i.store.Members(ctx, ownerGroup)
	if err != nil {
		return nil, err
	}
	var newest *pb.OwnerRecord
	for _, m := range members {
		var owner member
		if err := json.Unmarshal([]byte(m.Name), &owner); err != nil {
			i.log.WithField("event", "unreadable member").WithField("member", m.Name).WithError(err).Warn("membership")
			continue
		}
		if newest == nil || owner.Epoch > newest.GetEpoch() {
			newest = &pb.OwnerRecord{Epoch: owner.Epoch, Instance: owner.Instance, PeerAddress: owner.Address, CpuMilli: owner.CPUMilli}
		}
	}
	return newest, nil
}

// setOwner takes a newer owner. The newest known one stays until then: it may
// answer although it is not listed.
func (i *Instance) setOwner(o *pb.OwnerRecord) {
	old := i.owner.Load()
	if old.GetEpoch() >= o.GetEpoch() {
		return
	}
	i.owner.Store(o)
	i.log.WithField("event", "owner").WithField("owner", o.GetInstance()).WithField("epoch", o.GetEpoch()).
		WithField("before", old.GetInstance()).Info("membership")
}

func (i *Instance) candidates(ctx context.Context) ([]leader.Candidate, error) {
	members, err := i.store.Members(ctx, memberGroup)
	if err != nil {
		i.log.WithField("event", "members unknown").WithError(err).Warn("membership")
		return nil, err
	}
	var list []leader.Candidate
	for _, m := range members {
		var c member
		if err := json.Unmarshal([]byte(m.Name), &c); err == nil {
			list = append(list, leader.Candidate{Instance: c.Instance, Address: c.Address, CPUMilli: c.CPUMilli})
		}
	}
	return list, nil
}

// claim takes the ownership and runs as the owner until it is lost.
func (i *Instance) claim(stop, work context.Context, elector *leader.Elector) {
	begun := time.Now()
	// The others see that a claim is under way, and don't claim as well.
	intent := member{Instance: i.settings.GetInstance(), Address: i.peerAddress(), CPUMilli: i.cpuMilli()}
	if err := i.store.Join(stop, ownerGroup, intent.name(), i.ownerTTL()); err != nil {
		i.log.WithField("event", "claim failed").WithError(err).Warn("membership")
		return
	}
	state, err := i.open(stop)
	owner := intent
	owner.Epoch = state.epoch()
	if err == nil {
		if err := i.store.Join(stop, ownerGroup, owner.name(), i.ownerTTL()); err != nil {
			i.log.WithField("event", "owner not listed yet").WithError(err).Warn("membership")
		}
	}
	if err := i.store.Leave(work, ownerGroup, intent.name()); err != nil {
		i.log.WithField("event", "leave failed").WithError(err).Warn("membership")
	}
	if err != nil {
		i.metrics.claims.WithLabelValues("failed").Inc()
		i.log.WithField("event", "claim failed").WithError(err).Warn("membership")
		return
	}
	i.metrics.claims.WithLabelValues("won").Inc()
	i.log.WithField("event", "claim won").WithField("epoch", state.owner.GetEpoch()).
		WithField("took_ms", time.Since(begun).Milliseconds()).Info("membership")
	i.setOwner(state.owner)
	i.serveOwnership(stop, work, state, owner.name(), elector)
}

// stored is the state of the jobs as of a claim.
type stored struct {
	owner     *pb.OwnerRecord
	end       int64 // of the job topic
	jobs      map[string]*pb.StoredJob
	pairs     *pb.StoredPairs
	intake    []store.Record
	intakeEnd []int64 // by partition
}

// epoch returns the epoch of the claim, 0 if there is none.
func (s *stored) epoch() int64 {
	if s == nil {
		return 0
	}
	return s.owner.GetEpoch()
}

// ownerTTL is the time to live in the group of the owner that the store allows.
func (i *Instance) ownerTTL() time.Duration {
	return max(ownerTTL, time.Duration(i.settings.GetStore().GetMinGroupTtlMs())*time.Millisecond)
}

// open reads the job state and claims a new epoch on top of exactly what was
// read.
func (i *Instance) open(ctx context.Context) (*stored, error) {
	known := i.owner.Load().GetEpoch()
	var owner, before *pb.OwnerRecord
	var last error
	for range claimTries {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		s, err := i.readJobs(ctx)
		if err != nil {
			return nil, err
		}
		if owner != nil && s.owner.GetEpoch() != before.GetEpoch() {
			return nil, errors.Errorf("%s has claimed epoch %d in the meantime", s.owner.GetInstance(), s.owner.GetEpoch())
		}
		if owner == nil && s.owner.GetEpoch() > known {
			// Another instance has claimed since the group was found without an
			// owner. If it is gone again, the next look finds no owner.
			if known != 0 {
				i.setOwner(s.owner)
				return nil, errors.Errorf("%s has claimed epoch %d already", s.owner.GetInstance(), s.owner.GetEpoch())
			}
		}
		if owner == nil {
			before = s.owner
			owner = &pb.OwnerRecord{
				Epoch:    (s.owner.GetEpoch()>>epochBits+1)<<epochBits | rand.Int64N(1<<epochBits),
				Instance: i.settings.GetInstance(), PeerAddress: i.peerAddress(), Earlier: earlierOwners(before),
				CpuMilli: i.cpuMilli(),
			}
		}
		if last = i.appendClaim(ctx, owner, s.end); last == nil {
			s.owner, s.end = owner, s.end+1
			if s.intake, s.intakeEnd, err = i.readIntake(ctx); err != nil {
				return nil, errors.Wrap(err, "read the intake")
			}
			return s, nil
		}
		if !errors.Is(last, store.ErrConflict) {
			return nil, last
		}
	}
	return nil, last
}

// earlierOwners returns the owners that may still act after a claim that follows
// a recorded owner.
func earlierOwners(before *pb.OwnerRecord) []*pb.OwnerRecord {
	if before == nil {
		return nil
	}
	last := proto.CloneOf(before)
	last.Earlier = nil
	return append(before.GetEarlier(), last)
}

// appendClaim appends the owner's record. It repeats an append without answer:
// the store answers a repetition like the first.
func (i *Instance) appendClaim(ctx context.Context, owner *pb.OwnerRecord, end int64) error {
	data, err := proto.Marshal(owner)
	if err != nil {
		return errors.Wrap(err, "encode owner")
	}
	for range claimTries {
		_, err = i.store.Append(ctx, jobTopic, []store.Record{{Key: ownerKey, Value: data}}, store.AppendOptions{
			Producer: &store.Producer{Name: ownerName, Epoch: owner.GetEpoch()}, ExpectedEnd: &end,
		})
		if err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrRefused) {
			return err
		}
		sleep(ctx, unknownPause)
	}
	return err
}

func (i *Instance) readJobs(ctx context.Context) (*stored, error) {
	records, end, err := i.store.Newest(ctx, jobTopic)
	if err != nil {
		return nil, errors.Wrap(err, "read the jobs")
	}
	s := &stored{end: end, jobs: make(map[string]*pb.StoredJob, len(records))}
	for _, r := range records {
		if err := s.take(r); err != nil {
			return nil, errors.Wrapf(err, "decode record %q", r.Key)
		}
	}
	return s, nil
}

func (s *stored) take(r store.Record) error {
	switch r.Key {
	case ownerKey:
		s.owner = &pb.OwnerRecord{}
		return proto.Unmarshal(r.Value, s.owner)
	case pairsKey:
		s.pairs = &pb.StoredPairs{}
		return proto.Unmarshal(r.Value, s.pairs)
	default:
		job := &pb.StoredJob{}
		s.jobs[r.Key] = job
		return proto.Unmarshal(r.Value, job)
	}
}

// restore builds the core from stored state.
func (i *Instance) restore(s *stored, now time.Time) *scheduler.Core {
	bounds := i.settings.GetBounds()
	core := scheduler.New(scheduler.Options{
		Epoch:     s.owner.GetEpoch(),
		Lease:     time.Duration(bounds.GetLeaseMs()) * time.Millisecond,
		HarmLimit: time.Duration(bounds.GetHarmMs()) * time.Millisecond,
		Retention: time.Duration(bounds.GetStatusS() * float64(time.Second)),
	}, now)
	core.SetConfig(i.config.Load())
	core.RestoreInterference(s.pairs)
	for _, r := range s.intake {
		record := &pb.IntakeRecord{}
		if err := proto.Unmarshal(r.Value, record); err != nil {
			i.badIntake(r.Key, err)
			continue
		}
		if sub := record.GetSubmission(); sub != nil {
			core.Restore(sub, s.jobs[sub.GetId()], now)
		}
	}
	for _, r := range s.intake {
		record := &pb.IntakeRecord{}
		if proto.Unmarshal(r.Value, record) == nil && record.GetCancelled() != "" {
			core.Cancel(record.GetCancelled(), now)
		}
	}
	return core
}

func (i *Instance) badIntake(key string, err error) {
	i.metrics.unreadable.WithLabelValues(intakeTopic).Inc()
	i.log.WithField("event", "intake record unreadable").WithField("key", key).WithError(err).Error("store")
}
