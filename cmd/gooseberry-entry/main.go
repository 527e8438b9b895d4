// Command gooseberry-entry runs one entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"gooseberryreel/internal/buildinfo"
	"gooseberryreel/internal/entry"
	"gooseberryreel/internal/settings"
)

// Exit codes. Usage errors have code 80, which kong sets.
const (
	exitOK = iota
	exitFailed
	exitSettings
	exitListen
	exitSuperseded
	exitRecordsTrimmed
)

type options struct {
	Settings    string           `help:"JSON settings file." required:"" type:"path"`
	CheckConfig bool             `help:"Validate the settings, report every error and exit."`
	Version     kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var o options
	kong.Parse(&o,
		kong.Description("Runs one entry instance. Exit codes: 0 stopped on request, 1 failed, 2 invalid settings, "+
			"3 address not available, 4 replaced by a newer process, 5 the log trimmed records before they were read."),
		kong.Vars{"version": buildinfo.Version},
	)
	os.Exit(run(o))
}

func run(o options) int {
	loaded, err := settings.LoadEntry(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if o.CheckConfig {
		return exitOK
	}
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	if level, err := logrus.ParseLevel(loaded.GetLogLevel()); err == nil {
		logger.SetLevel(level)
	}
	log := logger.WithFields(logrus.Fields{"instance": loaded.GetInstance(), "failure_domain": loaded.GetFailureDomain()})

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	instance, err := entry.New(entry.Options{Settings: loaded, Logger: log})
	if err != nil {
		log.WithError(err).Error("start failed")
		return exitListen
	}
	log.WithFields(logrus.Fields{"http_address": instance.HTTPAddress(), "peer_address": instance.PeerAddress()}).Info("started")
	err = instance.Run(ctx)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, entry.ErrSuperseded):
		log.WithError(err).Error("stopped")
		return exitSuperseded
	case errors.Is(err, entry.ErrRecordsTrimmed):
		log.WithError(err).Error("stopped")
		return exitRecordsTrimmed
	default:
		log.WithError(err).Error("stopped")
		return exitFailed
	}
}
