// Command gooseberry-standin serves stand-ins for all platform servers of a site:
// log service, instance list, workers and targets.
package main

import (
	"encoding/json"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"gooseberryreel/internal/buildinfo"
	"gooseberryreel/internal/standin"
)

// Exit codes.
const (
	exitSettings = 2
	exitServe    = 3
)

type options struct {
	Settings    string           `help:"JSON file that describes the site." required:"" type:"existingfile"`
	ReadyFile   string           `help:"File to which the addresses are written as JSON once all servers listen." type:"path"`
	CheckConfig bool             `help:"Validate the settings and exit."`
	Version     kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var o options
	kong.Parse(&o,
		kong.Description("Stand-ins for the platform's log service, instance list, workers and targets."),
		kong.Vars{"version": buildinfo.Version},
	)
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	os.Exit(run(o, log))
}

func run(o options, log *logrus.Logger) int {
	site, err := standin.LoadSite(o.Settings)
	if err != nil {
		log.WithError(err).Error("invalid settings")
		return exitSettings
	}
	if o.CheckConfig {
		return 0
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	running, err := standin.Start(site)
	if err != nil {
		log.WithError(err).Error("cannot start the servers")
		return exitServe
	}
	defer running.Close()
	addresses := running.Addresses()
	if err := writeReadyFile(o.ReadyFile, addresses); err != nil {
		log.WithError(err).Error("cannot write the ready file")
		return exitServe
	}
	log.WithFields(logrus.Fields{
		"workers":   len(addresses.Workers),
		"targets":   len(addresses.Targets),
		"log_url":   addresses.LogURL,
		"list_url":  addresses.ListURL,
		"admin_url": addresses.AdminURL,
	}).Info("serving")
	log.WithField("signal", (<-signals).String()).Info("stopping")
	return 0
}

// writeReadyFile replaces the file by a rename, so that a reader never sees a
// partly written file.
func writeReadyFile(file string, addresses standin.Addresses) error {
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(addresses, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode addresses")
	}
	temporary, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return errors.Wrap(err, "create ready file")
	}
	defer func() { _ = os.Remove(temporary.Name()) }() // fails after the rename
	_, err = temporary.Write(append(data, '\n'))
	if closeErr := temporary.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Wrap(err, "write ready file")
	}
	return errors.Wrap(os.Rename(temporary.Name(), file), "rename ready file")
}
