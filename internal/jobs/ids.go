package jobs

import (
	"time"

	"github.com/google/uuid"

	"gooseberryreel/internal/requestid"
)

// newID returns a new job id whose home is the given failure domain.
func newID(domain string) string {
	return requestid.ID{Domain: domain, UUID: uuid.Must(uuid.NewV7())}.String()
}

// parseID returns the home failure domain and the issue time of a job id.
func parseID(id string) (domain string, issued time.Time, err error) {
	parsed, err := requestid.Parse(id)
	if err != nil {
		return "", time.Time{}, err
	}
	return parsed.Domain, parsed.Time(), nil
}
