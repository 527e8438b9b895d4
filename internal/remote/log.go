package remote

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote/wire"
)

type httpLog struct {
	client *client
}

// NewHTTPLog returns a client of the log service at a base URL.
func NewHTTPLog(baseURL string) Log {
	return &httpLog{client: newClient("log "+baseURL, baseURL, maxLogResponseBytes)}
}

// Append implements Log.
func (l *httpLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	const step = "append to log"
	var response wire.AppendResponse
	err := l.client.do(ctx, step, http.MethodPost, streamPath(stream), 0, wire.AppendRequest{Records: records}, &response)
	if err != nil {
		return 0, err
	}
	if response.FirstOffset == nil || *response.FirstOffset < 0 {
		return 0, errs.Wrap(step, l.client.peer, pb.Outcome_OUTCOME_UNKNOWN, errors.New("response has no valid first_offset"))
	}
	return *response.FirstOffset, nil
}

// Read implements Log.
func (l *httpLog) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (Batch, error) {
	const step = "read log"
	query := url.Values{}
	query.Set("from", strconv.FormatInt(from, 10))
	query.Set("max", strconv.Itoa(min(max, maxReadRecords)))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var response wire.ReadResponse
	err := l.client.do(ctx, step, http.MethodGet, streamPath(stream)+"?"+query.Encode(), wait, nil, &response)
	if err != nil {
		return Batch{}, err
	}
	batch, err := batchFrom(from, response)
	if err != nil {
		return Batch{}, errs.Wrap(step, l.client.peer, pb.Outcome_OUTCOME_NOT_RUN, err).WithRetry()
	}
	return batch, nil
}

func streamPath(stream string) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// batchFrom converts the result of a read. It returns an error unless the records
// are consecutive from the requested offset on, or from the first retained one if
// that is later, and lie within the stream.
func batchFrom(from int64, response wire.ReadResponse) (Batch, error) {
	if response.FirstRetained == nil || response.Next == nil {
		return Batch{}, errors.New("response has no first_retained or no next")
	}
	batch := Batch{FirstRetained: *response.FirstRetained, Next: *response.Next}
	if batch.FirstRetained < 0 || batch.Next < batch.FirstRetained {
		return Batch{}, errors.Errorf("response has invalid offsets: first_retained %d, next %d", batch.FirstRetained, batch.Next)
	}
	want := max(from, batch.FirstRetained)
	for _, record := range response.Records {
		if record.Offset != want || record.Offset >= batch.Next {
			return Batch{}, errors.Errorf("response has a record at offset %d, want %d, below next %d", record.Offset, want, batch.Next)
		}
		want++
		batch.Records = append(batch.Records, Record{
			Offset: record.Offset,
			Time:   time.UnixMilli(record.TimeMS),
			Data:   record.Data,
		})
	}
	return batch, nil
}
