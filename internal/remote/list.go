package remote

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

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
	var response json.RawMessage
	err := l.client.doConditional(ctx, step, http.MethodGet, "/v1/instances", 0, nil, &response, cond)
	if errors.Is(err, errNotModified) {
		cached.AsOf, err = parseAsOf(cond.header)
	} else if err == nil {
		cached, err = DecodeListing(response)
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

// DecodeListing decodes a listing. A row of another writer may have any content: one that
// can't be read, is out of range or repeats a name is left out, and the others hold.
func DecodeListing(data []byte) (Listing, error) {
	asOfMS, rows, err := wire.DecodeRows(data)
	if err != nil {
		return Listing{}, err
	}
	if asOfMS <= 0 {
		return Listing{}, errors.New("response has no as_of_ms")
	}
	listing := Listing{AsOf: time.UnixMilli(asOfMS)}
	seen := make(map[string]bool, len(rows))
	for n, row := range rows {
		instance, err := instanceFrom(row)
		if err == nil && seen[instance.Name] {
			err = errors.Errorf("instance %.100q is listed twice", instance.Name)
		}
		if err != nil {
			listing.Unreadable = append(listing.Unreadable, errors.Wrapf(err, "row %d", n))
			continue
		}
		seen[instance.Name] = true
		listing.Instances = append(listing.Instances, instance)
	}
	return listing, nil
}

// maxAmount bounds the amounts of a row, so that sums over a site don't overflow.
const maxAmount = 1 << 40

// CheckAmounts returns an error if a resource or limit of a row is out of range.
func CheckAmounts(row wire.Instance) error {
	for _, amount := range []int64{int64(row.Slots), int64(row.Connections), row.CPUMilli, row.MemoryMiB, row.Accelerators} {
		if amount < 0 || amount > maxAmount {
			return errors.Errorf("instance %.100q has the resource or limit %d, want 0 to %d", row.Name, amount, int64(maxAmount))
		}
	}
	return nil
}

func instanceFrom(row wire.Row) (Instance, error) {
	if row.Err != nil {
		return Instance{}, row.Err
	}
	if row.Name == "" || !utf8.ValidString(row.Name) {
		return Instance{}, errors.Errorf("instance name %.100q is empty or no text", row.Name)
	}
	kind := Kind(row.Kind)
	if kind != KindEntry && kind != KindWorker && kind != KindTarget {
		return Instance{}, errors.Errorf("instance %.100q has unknown kind %.100q", row.Name, row.Kind)
	}
	state := State(row.State)
	if state != StateLive && state != StateLeaving {
		return Instance{}, errors.Errorf("instance %.100q has unknown state %.100q", row.Name, row.State)
	}
	if address, err := netip.ParseAddrPort(row.Address); err != nil || address.Port() == 0 {
		return Instance{}, errors.Errorf("instance %.100q has address %.100q, want IP:PORT", row.Name, row.Address)
	}
	if err := CheckAmounts(row.Instance); err != nil {
		return Instance{}, err
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
