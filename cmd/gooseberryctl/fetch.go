package main

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// maxResponseBytes limits the size of an instance's response.
const maxResponseBytes = 256 << 20

// fetch sends a GET request for a path to an entry instance and returns the body
// of a response with status 200.
func fetch(ctx context.Context, address, path string, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "instance %s", address)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "instance %s", address)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "instance %s: read %s", address, path)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("instance %s: %s returned status %s", address, path, resp.Status)
	}
	return body, nil
}
