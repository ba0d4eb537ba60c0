//go:build reviewrig

package main

// This file defines the calls of requesters.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	requesterBudget = 3 * time.Second // Time-Remaining of a call
	statusBudget    = 5 * time.Second // of a call that asks for a state
)

// call sends one request to a gateway. The status is 0 if there was no answer.
func (s *site) call(gateway int, method, path string, body any, budget time.Duration) (status int, data []byte) {
	var content io.Reader
	if body != nil {
		encoded, _ := json.Marshal(body)
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+s.gateways[gateway].front+path, content)
	if err != nil {
		return 0, nil
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Time-Remaining", fmt.Sprint(budget.Milliseconds()))
	client := &http.Client{Timeout: budget, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		s.rec.addf("%s %s at %s: no answer: %v", method, path, s.gateways[gateway].node, err)
		return 0, nil
	}
	defer response.Body.Close()
	data, _ = io.ReadAll(response.Body)
	s.rec.addf("%s %s at %s: %d %s", method, path, s.gateways[gateway].node, response.StatusCode, data)
	return response.StatusCode, data
}

// submit hands a job in until it is accepted.
func (s *site) submit(prefix, id string, body map[string]any) error {
	for try := range 10 {
		if status, _ := s.call(try%len(s.gateways), http.MethodPost, prefix+id, body, requesterBudget); status/100 == 2 {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("submission %s was not accepted", id)
}

// state asks for a job's state, at all gateways in turn until one answers.
func (s *site) state(prefix, id string) (status int, state string) {
	for try := range 3 * len(s.gateways) {
		var data []byte
		status, data = s.call(try%len(s.gateways), http.MethodGet, prefix+id, nil, statusBudget)
		var body struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &body) == nil {
			return status, body.State
		}
		if status == http.StatusGone {
			return status, ""
		}
		time.Sleep(500 * time.Millisecond)
	}
	return status, ""
}
