package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"

	"gooseberryreel/internal/loopback"
)

// Limits of one response of the store, as the pages set them.
const (
	pageBytes  = 1 << 20
	readHeader = 16
)

type newestPage struct {
	Items []struct {
		Key, Value string
		Offset     int64
	} `json:"items"`
	HasMore bool
	End     int64
}

// startFront starts a server in front of an endpoint of the emulated store, which bounds
// pages of newest records and reads by their bytes. It returns its address.
func startFront(endpoint string) string {
	listener, err := loopback.Listen()
	if err != nil {
		fatal("listen: %v", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { forward(rw, r, endpoint) })}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().(*net.TCPAddr).String()
}

func forward(rw http.ResponseWriter, r *http.Request, endpoint string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	u := url.URL{Scheme: "http", Host: endpoint, Path: r.URL.Path, RawQuery: r.URL.RawQuery}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, u.String(), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if resp.StatusCode == http.StatusOK {
		switch r.URL.Path {
		case "/log-newest":
			data = cutPage(data)
		case "/log-read":
			data = cutRead(data)
		}
	}
	rw.WriteHeader(resp.StatusCode)
	_, _ = rw.Write(data)
}

func cutPage(data []byte) []byte {
	var page newestPage
	if json.Unmarshal(data, &page) != nil {
		return data
	}
	size := 0
	for n, item := range page.Items {
		if size += len(item.Value); size > pageBytes && n > 0 {
			page.Items, page.HasMore = page.Items[:n], true
			break
		}
	}
	out, err := json.Marshal(page)
	if err != nil {
		return data
	}
	return out
}

func cutRead(data []byte) []byte {
	end := readHeader
	for end+4 <= len(data) {
		next := end + 4 + int(binary.BigEndian.Uint32(data[end:]))
		if next > len(data) || next > readHeader+pageBytes && end > readHeader {
			break
		}
		end = next
	}
	return data[:min(end, len(data))]
}
