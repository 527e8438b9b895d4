package remote

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote/wire"
)

type httpInstanceList struct {
	client *client

	mu sync.Mutex
	// etag is the entity tag of lastListing, empty if the response had none.
	etag        string
	lastListing Listing
}

// NewHTTPInstanceList returns a client of the instance list at a base URL.
func NewHTTPInstanceList(baseURL string) InstanceList {
	return &httpInstanceList{client: newClient("instance list "+baseURL, baseURL, maxListResponseBytes)}
}

// List implements InstanceList. It requests the list conditionally, so that an
// unchanged list is not transferred again: the whole list each second is most of
// the data that an entry instance receives.
func (l *httpInstanceList) List(ctx context.Context) (Listing, error) {
	const step = "read instance list"
	cached, etag := l.cached()
	cond := &conditionalGet{etag: etag}
	var response wire.Listing
	err := l.client.doConditional(ctx, step, http.MethodGet, "/v1/instances", 0, nil, &response, cond)
	if errors.Is(err, errNotModified) {
		cached.AsOf, err = parseAsOf(cond.header)
	} else if err == nil {
		cached, err = listingFrom(response)
	} else {
		return Listing{}, err
	}
	if err != nil {
		// The next call reads the whole list.
		l.setCached(Listing{}, "")
		return Listing{}, errs.Wrap(step, l.client.peer, pb.Outcome_OUTCOME_NOT_RUN, err).WithRetry()
	}
	l.setCached(cached, cond.header.Get("ETag"))
	return cached, nil
}

func (l *httpInstanceList) cached() (Listing, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastListing, l.etag
}

func (l *httpInstanceList) setCached(listing Listing, etag string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastListing, l.etag = listing, etag
}

// parseAsOf returns the time of the list that a not-modified response confirms.
func parseAsOf(header http.Header) (time.Time, error) {
	ms, err := strconv.ParseInt(header.Get(wire.HeaderAsOf), 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, errors.Errorf("response has invalid %s header %.100q", wire.HeaderAsOf, header.Get(wire.HeaderAsOf))
	}
	return time.UnixMilli(ms), nil
}

// listingFrom converts a listing. It returns an error if any row is invalid,
// since instances of omitted rows would look gone.
func listingFrom(response wire.Listing) (Listing, error) {
	if response.AsOfMS <= 0 {
		return Listing{}, errors.New("response has no as_of_ms")
	}
	listing := Listing{AsOf: time.UnixMilli(response.AsOfMS)}
	seen := make(map[string]bool, len(response.Instances))
	for _, row := range response.Instances {
		if row.Name == "" || seen[row.Name] {
			return Listing{}, errors.Errorf("response has an empty or duplicate instance name %.100q", row.Name)
		}
		seen[row.Name] = true
		instance, err := instanceFrom(row)
		if err != nil {
			return Listing{}, err
		}
		listing.Instances = append(listing.Instances, instance)
	}
	return listing, nil
}

func instanceFrom(row wire.Instance) (Instance, error) {
	kind := Kind(row.Kind)
	if kind != KindEntry && kind != KindWorker && kind != KindTarget {
		return Instance{}, errors.Errorf("instance %q has unknown kind %.100q", row.Name, row.Kind)
	}
	state := State(row.State)
	if state != StateLive && state != StateLeaving {
		return Instance{}, errors.Errorf("instance %q has unknown state %.100q", row.Name, row.State)
	}
	if row.Slots < 0 || row.Connections < 0 || row.CPUMilli < 0 || row.MemoryMiB < 0 || row.Accelerators < 0 {
		return Instance{}, errors.Errorf("instance %q has a negative resource or limit", row.Name)
	}
	return Instance{
		Name:        row.Name,
		Kind:        kind,
		Domain:      row.Domain,
		Address:     row.Address,
		Rack:        row.Rack,
		State:       state,
		Service:     row.Service,
		Worker:      row.Worker,
		Slots:       row.Slots,
		Connections: row.Connections,
		Capacity:    Resources(row.Resources),
	}, nil
}
