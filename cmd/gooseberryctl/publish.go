package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"gooseberryreel/internal/config"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

type publishCommand struct {
	Files     []string      `arg:"" name:"file" help:"Declaration files, each with a name of its own." type:"path"`
	LogURL    string        `help:"Base URL of the platform's log service." env:"GOOSEBERRY_LOG_URL" required:""`
	PublishID string        `help:"Id of an earlier publish whose result is unknown. Publishing the same files with it resumes that publish, and no change takes effect twice."`
	Timeout   time.Duration `help:"Maximum wait for each file." default:"15s"`
}

func (p *publishCommand) run(c *console) int {
	declared, ok := loadAll(c, p.Files)
	if !ok {
		return exitInvalid
	}
	if p.PublishID == "" {
		p.PublishID = uuid.NewString()
	}
	fmt.Fprintf(c.stdout, "publish id %s\n", p.PublishID)
	// Services and batch jobs refer to teams, so teams are published first.
	slices.SortStableFunc(declared, func(a, b *pb.Declaration) int { return publishOrder(a) - publishOrder(b) })
	log := remote.NewHTTPLog(p.LogURL)
	code := exitOK
	for _, d := range declared {
		if result := p.publish(c, log, d); result != exitOK && code == exitOK {
			code = result
		}
	}
	return code
}

func publishOrder(d *pb.Declaration) int {
	if d.GetTeam() != nil {
		return 0
	}
	return 1
}

// publish publishes one declaration and returns the exit code. The publish id of
// its record consists of the id of the command and the declared name, so that a
// resumed command recognizes the records that it wrote before.
func (p *publishCommand) publish(c *console, log remote.Log, d *pb.Declaration) int {
	ctx, cancel := context.WithTimeout(c.ctx, p.Timeout)
	defer cancel()
	offset, err := config.Publish(ctx, log, d, p.PublishID+"."+d.GetName())
	if err == nil {
		fmt.Fprintf(c.stdout, "accepted %s version %d\n", d.GetName(), offset)
		return exitOK
	}
	code, result := classify(err)
	fmt.Fprintf(c.stdout, "%s %s\n", result, d.GetName())
	c.errorf("%s: %v", d.GetName(), err)
	if code == exitUnknown {
		c.errorf("resume with --publish-id %s", p.PublishID)
	}
	return code
}

// classify returns the exit code and the printed result of a failed publish. The
// change may have taken effect unless the error is a conflict or a validation
// error.
func classify(err error) (int, string) {
	var conflict *config.ConflictError
	var invalid *config.InvalidError
	switch {
	case errors.As(err, &conflict):
		return exitConflict, "conflict"
	case errors.As(err, &invalid):
		return exitInvalid, "invalid"
	}
	return exitUnknown, "unknown"
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
