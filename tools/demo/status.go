package main

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// instanceStatus is the part of GET /v1/status that the driver reads.
type instanceStatus struct {
	ConfigVersion int64             `json:"config_version"`
	Partitions    []partitionStatus `json:"partitions"`
}

// partitionStatus is one partition of the instance's domain. The last one is
// the job partition.
type partitionStatus struct {
	Partition int    `json:"partition"`
	Owner     string `json:"owner"`
	Own       bool   `json:"own"`
	MayAct    bool   `json:"may_act"`
}

func (d *demo) status(i *instance) (instanceStatus, error) {
	var status instanceStatus
	body, err := d.call(http.MethodGet, "http://"+i.httpAddress+"/v1/status", nil)
	if err == nil {
		err = json.Unmarshal(body, &status)
	}
	return status, errors.Wrapf(err, "status of %s", i.name)
}
