package main

import (
	"fmt"
	"time"

	"gooseberryreel/internal/events"
	"gooseberryreel/internal/history"
	"gooseberryreel/internal/settings"
)

// Kinds of events that are read as operations: the start of a planned leave, and
// a new configuration with its version in the detail.
const (
	eventLeaving = "instance_leaving"
	eventConfig  = "config_in_force"
	configDetail = "version %d"
	// eventResolution is the resolution of the times in a timeline.
	eventResolution = time.Millisecond
)

func (o *options) read() ([]history.Operation, history.Limits, error) {
	var ops []history.Operation
	for _, file := range o.Histories {
		read, err := history.ReadFile(file)
		if err != nil {
			return nil, history.Limits{}, err
		}
		ops = append(ops, read...)
	}
	for _, file := range o.Events {
		timeline, err := events.ReadFile(file)
		if err != nil {
			return nil, history.Limits{}, err
		}
		ops = append(ops, operationsOf(timeline)...)
	}
	limits, err := o.readLimits()
	return ops, limits, err
}

func (o *options) readLimits() (history.Limits, error) {
	if o.Instances == "" {
		return history.Limits{}, nil
	}
	limits, err := history.ReadLimits(o.Instances)
	if err != nil {
		return limits, err
	}
	for _, file := range o.Declarations {
		declaration, err := settings.LoadDeclaration(file)
		if err != nil {
			return limits, err
		}
		if service := declaration.GetService(); service != nil {
			limits.Reserve(declaration.GetName(), service)
		}
	}
	return limits, nil
}

// operationsOf returns the operations that a timeline adds to a history: when
// instances began to leave, and which configuration versions were in force. It
// skips events without a valid time and events of other kinds.
func operationsOf(timeline []events.Event) []history.Operation {
	var ops []history.Operation
	for _, e := range timeline {
		at, err := time.Parse(time.RFC3339, e.Time)
		if err != nil {
			continue
		}
		// The time of an event is truncated to milliseconds, so the operation spans
		// the whole millisecond.
		op := history.Operation{
			Client: e.Instance, ID: e.Instance, Outcome: history.OutcomeOK,
			Start: at.UnixNano(), End: at.Add(eventResolution - 1).UnixNano(),
		}
		switch e.Kind {
		case eventLeaving:
			op.Kind = history.KindLeaving
		case eventConfig:
			if _, err := fmt.Sscanf(e.Detail, configDetail, &op.Version); err != nil {
				continue
			}
			op.Kind = history.KindConfigRead
		default:
			continue
		}
		ops = append(ops, op)
	}
	return ops
}
