// Command gooseberry-scheduler runs one instance of the scheduler on the
// deployment platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/buildinfo"
	"gooseberryreel/internal/daemon"
	"gooseberryreel/internal/logline"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/settings"
)

// Exit codes. Usage errors have code 80, which kong sets.
const (
	exitOK = iota
	exitFailed
	exitSettings
	exitListen
)

// memoryLimitShare is the fraction of the machine's memory that is set as the
// soft memory limit of the Go runtime: the garbage collector runs more often when
// the process approaches it. A process that exceeds the machine's memory is
// killed.
const memoryLimitShare = 0.7

type options struct {
	Settings    string           `help:"JSON settings file." required:"" type:"path" env:"GOOSEBERRYREEL_NODE_FILE"`
	CheckConfig bool             `help:"Validate the settings, report every error and exit."`
	Version     kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var o options
	kong.Parse(&o,
		kong.Description("Runs one scheduler instance. Exit codes: 0 stopped on request, 1 failed, 2 invalid settings, 3 address not available."),
		kong.Vars{"version": buildinfo.Version},
	)
	os.Exit(run(o))
}

// settingsPollInterval is how often the settings file is read again, because it
// may change without a SIGHUP.
const settingsPollInterval = time.Second

// watchSettings reads the settings file periodically and on SIGHUP, and applies
// a changed log level. Other settings, such as addresses and limits, take effect
// at the next start only; the log line of a change says so in needs_restart.
// Invalid settings are logged only after a SIGHUP.
func watchSettings(ctx context.Context, file string, loaded *pb.SchedulerSettings, logger *logrus.Logger, log *logrus.Entry) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signalled = true
		case <-ticker.C:
		}
		changed, err := settings.LoadScheduler(file)
		if err != nil {
			if signalled {
				log.WithField("event", "invalid settings").WithError(err).Error("process")
			}
			continue
		}
		if proto.Equal(changed, loaded) {
			if signalled {
				log.WithField("event", "reloaded").WithField("changed", false).Info("process")
			}
			continue
		}
		level, err := logrus.ParseLevel(changed.GetLogLevel())
		if err == nil {
			logger.SetLevel(level)
		}
		sameLevel := proto.CloneOf(changed)
		sameLevel.LogLevel = loaded.GetLogLevel()
		log.WithFields(logrus.Fields{"event": "reloaded", "changed": true, "needs_restart": !proto.Equal(sameLevel, loaded)}).Info("process")
		loaded = changed
	}
}

func run(o options) int {
	loaded, err := settings.LoadScheduler(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if o.CheckConfig {
		return exitOK
	}
	dropped := new(daemon.DroppedLineCounter)
	out := logline.New(os.Stdout, dropped.Add)
	defer out.Close()
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(logline.Formatter{})
	if level, err := logrus.ParseLevel(loaded.GetLogLevel()); err == nil {
		logger.SetLevel(level)
	}
	log := logger.WithField("instance", loaded.GetInstance())

	debug.SetMemoryLimit(int64(float64(loaded.GetMemoryMib()<<20) * memoryLimitShare))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	instance, err := daemon.New(daemon.Options{Settings: loaded, Logger: log, DroppedLines: dropped, Exit: func() {
		out.Close()
		os.Exit(exitFailed)
	}})
	if err != nil {
		log.WithError(err).Error("start failed")
		return exitListen
	}
	go watchSettings(ctx, o.Settings, loaded, logger, log)
	log.WithFields(logrus.Fields{"event": "started", "http_address": instance.HTTPAddress(), "version": buildinfo.Version}).Info("process")
	if err := instance.Run(ctx); err != nil {
		log.WithField("event", "failed").WithError(err).Error("process")
		return exitFailed
	}
	log.WithField("event", "stopped").Info("process")
	return exitOK
}
