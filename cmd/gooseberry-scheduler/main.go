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

// heapShare is the part of the machine's memory from which the collector works
// harder. A process over the machine's memory is killed.
const heapShare = 0.7

type options struct {
	Settings    string           `help:"JSON settings file." required:"" type:"path" env:"GOOSEBERRYREEL_NODE_FILE"`
	CheckConfig bool             `help:"Check the settings, report every error and exit."`
	Version     kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var o options
	kong.Parse(&o,
		kong.Description("Runs one scheduler instance. Exit codes: 0 stopped as asked, 1 failed, 2 settings not valid, 3 address not available."),
		kong.Vars{"version": buildinfo.Version},
	)
	os.Exit(run(o))
}

// settingsInterval is how often the settings file is looked at: it may change
// without a signal.
const settingsInterval = time.Second

// reload takes the log level of changed settings. Addresses and bounds stay
// those of the start; a change of them is logged.
func reload(ctx context.Context, file string, loaded *pb.SchedulerSettings, logger *logrus.Logger, log *logrus.Entry) {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangUp:
			signalled = true
		case <-ticker.C:
		}
		changed, err := settings.LoadScheduler(file)
		if err != nil {
			if signalled {
				log.WithField("event", "settings not valid").WithError(err).Error("process")
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
		restart := proto.CloneOf(changed)
		restart.LogLevel = loaded.GetLogLevel()
		log.WithFields(logrus.Fields{"event": "reloaded", "changed": true, "needs_restart": !proto.Equal(restart, loaded)}).Info("process")
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
	logger.SetFormatter(&logrus.JSONFormatter{})
	if level, err := logrus.ParseLevel(loaded.GetLogLevel()); err == nil {
		logger.SetLevel(level)
	}
	log := logger.WithField("instance", loaded.GetInstance())

	debug.SetMemoryLimit(int64(float64(loaded.GetMemoryMib()<<20) * heapShare))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	instance, err := daemon.New(daemon.Options{Settings: loaded, Logger: log, DroppedLines: dropped})
	if err != nil {
		log.WithError(err).Error("start failed")
		return exitListen
	}
	go reload(ctx, o.Settings, loaded, logger, log)
	log.WithFields(logrus.Fields{"event": "started", "http_address": instance.HTTPAddress(), "version": buildinfo.Version}).Info("process")
	if err := instance.Run(ctx); err != nil {
		log.WithField("event", "failed").WithError(err).Error("process")
		return exitFailed
	}
	log.WithField("event", "stopped").Info("process")
	return exitOK
}
