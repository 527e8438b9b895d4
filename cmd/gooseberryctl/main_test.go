package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/events"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/settings"
	"gooseberryreel/internal/standin"
)

const (
	team    = `{"name":"reports","team":{"quota":{"cpu_milli":1000,"memory_mib":1024}}}`
	job     = `{"name":"report","batch_job":{"team":"reports","needs":{"cpu_milli":100,"memory_mib":10},"expected_run_ms":1000,"workload":"report"}}`
	slowJob = `{"name":"report","batch_job":{"team":"reports","needs":{"cpu_milli":100,"memory_mib":10},"expected_run_ms":2000,"workload":"report"}}`
	badJob  = `{"name":"report","batch_job":{"team":"reports","colour":"red"}}`
)

func write(t *testing.T, content string) string {
	file := filepath.Join(t.TempDir(), "file.json")
	qt.Assert(t, os.WriteFile(file, []byte(content), 0o600), qt.IsNil)
	return file
}

// runCLI runs gooseberryctl and returns its exit code, stdout and stderr.
func runCLI(args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	code := run(&console{ctx: context.Background(), stdout: &stdout, stderr: &stderr}, args)
	return code, stdout.String(), stderr.String()
}

func startStandin(t *testing.T) *standin.RunningSite {
	site, err := standin.Start(standin.Site{Name: "test"})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(site.Close)
	return site
}

// Guards against validate accepting an invalid file, and against errors of later
// files that are not printed.
func TestValidate(t *testing.T) {
	c := qt.New(t)
	code, _, _ := runCLI("validate", write(t, team), write(t, job))
	c.Check(code, qt.Equals, exitOK)
	code, _, stderr := runCLI("validate", write(t, badJob), write(t, "{"), write(t, job), write(t, slowJob))
	c.Check(code, qt.Equals, exitInvalid)
	c.Check(stderr, qt.Contains, "colour")
	c.Check(stderr, qt.Contains, "already declared")
	c.Check(strings.Count(stderr, "gooseberryctl:") >= 3, qt.IsTrue)
	code, _, _ = runCLI("validate")
	c.Check(code, qt.Equals, exitUsage)
}

// Guards against wrong exit codes of publish, and against a resumed publish that
// takes effect twice.
func TestPublish(t *testing.T) {
	c := qt.New(t)
	site := startStandin(t)
	publish := func(args ...string) (int, string, string) {
		return runCLI(append([]string{"publish", "--log-url", site.LogURL()}, args...)...)
	}
	code, first, stderr := publish("--publish-id", "p1", write(t, job), write(t, team))
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", stderr))
	c.Check(strings.Index(first, "accepted reports") < strings.Index(first, "accepted report "), qt.IsTrue, qt.Commentf("%s", first))

	code, again, _ := publish("--publish-id", "p1", write(t, job), write(t, team))
	c.Check(code, qt.Equals, exitOK)
	c.Check(again, qt.Equals, first)

	code, _, stderr = publish(write(t, badJob))
	c.Check(code, qt.Equals, exitInvalid)
	c.Check(stderr, qt.Contains, "colour")

	c.Assert(site.SetFaults(standin.NameLog, standin.Faults{Down: true}), qt.IsNil)
	code, _, stderr = publish("--timeout", "50ms", "--publish-id", "p2", write(t, slowJob))
	c.Check(code, qt.Equals, exitUnknown)
	c.Check(stderr, qt.Contains, "--publish-id p2")
	c.Assert(site.ClearFaults(standin.NameLog), qt.IsNil)
	code, _, _ = publish("--publish-id", "p2", write(t, slowJob))
	c.Check(code, qt.Equals, exitOK)
}

// racingLog calls beforeFirstAppend just before the first append, which lets a
// test publish a concurrent change there.
type racingLog struct {
	remote.Log
	beforeFirstAppend func()
}

func (l *racingLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	l.beforeFirstAppend()
	l.beforeFirstAppend = func() {}
	return l.Log.Append(ctx, stream, records)
}

// Guards against reporting success to the operator whose publish lost a race.
func TestRacingOperators(t *testing.T) {
	c := qt.New(t)
	site := startStandin(t)
	winner, loser := write(t, job), write(t, slowJob)
	declared, err := settings.LoadDeclaration(loser)
	c.Assert(err, qt.IsNil)
	log := &racingLog{Log: remote.NewHTTPLog(site.LogURL()), beforeFirstAppend: func() {
		code, _, _ := runCLI("publish", "--log-url", site.LogURL(), winner)
		c.Check(code, qt.Equals, exitOK)
	}}
	var stdout, stderr bytes.Buffer
	command := publishCommand{PublishID: "p1", Timeout: time.Minute}
	code := command.publish(&console{ctx: context.Background(), stdout: &stdout, stderr: &stderr}, log, declared)
	c.Check(code, qt.Equals, exitConflict)
	c.Check(stdout.String(), qt.Equals, "conflict report\n")
}

func serve(t *testing.T, path, body string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against events out of order, ignored filters, and unreachable sources
// that are not reported.
func TestTimeline(t *testing.T) {
	c := qt.New(t)
	live := serve(t, "/events", `{"hlc":3,"instance":"a","kind":"third","id":"x"}`+"\n"+`{"hlc":1,"instance":"a","kind":"first","id":"y"}`)
	saved := write(t, `[{"hlc":2,"instance":"b","kind":"second","id":"x"}]`)
	code, stdout, _ := runCLI("timeline", "--entry", live, "--file", saved, "--format", "json")
	c.Assert(code, qt.Equals, exitOK)
	list, err := events.Read("output", strings.NewReader(stdout))
	c.Assert(err, qt.IsNil)
	c.Assert(list, qt.HasLen, 3)
	c.Check([]string{list[0].Kind, list[1].Kind, list[2].Kind}, qt.DeepEquals, []string{"first", "second", "third"})

	code, stdout, stderr := runCLI("timeline", "--entry", live, "--entry", "127.0.0.1:1", "--id", "x")
	c.Check(code, qt.Equals, exitPartial)
	c.Check(stderr, qt.Contains, "127.0.0.1:1")
	c.Check(stdout, qt.Contains, "third")
	c.Check(stdout, qt.Not(qt.Contains), "first")
	code, _, _ = runCLI("timeline")
	c.Check(code, qt.Equals, exitUsage)
}

// Guards against a status that leaves out an unreachable instance.
func TestStatus(t *testing.T) {
	c := qt.New(t)
	live := serve(t, "/v1/status", `{"instance":"a","config_version":7,"partitions":[{"partition":0,"owner":"a"}]}`)
	code, stdout, _ := runCLI("status", "--entry", live)
	c.Check(code, qt.Equals, exitOK)
	c.Check(stdout, qt.Contains, "config_version: 7")
	c.Check(stdout, qt.Contains, `{"partition":0,"owner":"a"}`)

	code, stdout, _ = runCLI("status", "--entry", live, "--entry", "127.0.0.1:1", "--format", "json")
	c.Check(code, qt.Equals, exitPartial)
	var all []instanceStatus
	c.Assert(json.Unmarshal([]byte(stdout), &all), qt.IsNil)
	c.Assert(all, qt.HasLen, 2)
	c.Check(all[1].Error, qt.Not(qt.Equals), "")
}

// Guards against a response that is cut short and that an operator takes for a whole one.
func TestCutResponses(t *testing.T) {
	c := qt.New(t)
	status := `{"instance":"a","config_version":7}`
	list := `{"events":[{"hlc":3,"instance":"a","kind":"third","id":"x"},{"hlc":4,"instance":"a","kind":"fourth","id":"x"}]}`
	for name, head := range map[string]string{
		"length": "Content-Length: 500\r\n\r\n", "chunked": "Transfer-Encoding: chunked\r\n\r\n200\r\n", "neither": "\r\n",
	} {
		for command, body := range map[string]string{"status": status, "timeline": list} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				cut := body // with a length, the whole object is still a part of the response
				if name == "neither" {
					cut = body[:len(body)/2]
				}
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + head + cut))
				_ = conn.Close()
			}))
			address := strings.TrimPrefix(server.URL, "http://")
			code, stdout, stderr := runCLI(command, "--entry", address)
			server.Close()
			c.Check(code, qt.Equals, exitPartial, qt.Commentf("%s, %s", command, name))
			c.Check(stdout+stderr, qt.Contains, address)
			c.Check(stdout, qt.Not(qt.Contains), "config_version")
			c.Check(stdout, qt.Not(qt.Contains), "third")
		}
	}
}
