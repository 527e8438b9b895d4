package daemon

import (
	"context"
	"net/http"
	"time"
)

const (
	// loadBalancerDelay is how long an instance that shuts down still accepts new
	// connections. The load balancer checks readiness once a second and stops
	// using an instance after two failed checks.
	loadBalancerDelay = 2200 * time.Millisecond
	// shutdownMargin is the part of the grace time that is reserved for the steps
	// after the connections are closed.
	shutdownMargin = 800 * time.Millisecond
	// termDelay is how long an owner that shuts down keeps the ownership, if the grace
	// time allows. Its successor then takes over while this process still answers that
	// it no longer owns the job state.
	termDelay = loadBalancerDelay / 2
)

// shutdown serves callers until the load balancer has stopped using this instance,
// then closes connections as they become idle. Meanwhile it calls endTerm, and waits for
// the end of the election as long as the grace time allows.
func (i *Instance) shutdown(api *http.Server, endTerm context.CancelFunc, electionOver <-chan struct{}) {
	i.stopping.Store(true)
	i.log.WithField("event", "stopping").Info("process")
	grace := time.Duration(i.settings.GetBounds().GetGraceS()*float64(time.Second)) - shutdownMargin
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	defer time.AfterFunc(min(termDelay, grace/2), endTerm).Stop()
	api.SetKeepAlivesEnabled(false)
	sleep(ctx, loadBalancerDelay)
	if err := api.Shutdown(ctx); err != nil {
		i.log.WithField("event", "connections closed while in use").WithError(err).Warn("process")
	}
	select {
	case <-electionOver:
	case <-ctx.Done():
	}
}
