package planner

// This file defines how learned interference coefficients are sent to supervisors and
// stored. A supervisor receives those of the image pairs on its worker. A new leader
// reads them from the jobs topic; otherwise tasks would miss their latency targets
// again while it learns.

import (
	"encoding/json"
	"time"

	pv "persimmonvalve"
)

// coefficientsToSend returns the coefficients of the image pairs on the worker that
// are new or have changed since they were last sent to its supervisor, and marks them as
// sent.
func (p *Planner) coefficientsToSend(w *worker) []pv.InterferenceCoefficient {
	if w.servingRuns == 0 || w.fillerMilliCores == 0 {
		return nil
	}
	var out []pv.InterferenceCoefficient
	colocated := p.colocationOf(w)
	for _, f := range colocated.fillers {
		for _, s := range colocated.servingSteps {
			pair := pv.ImagePair{Filler: f.image, Serving: s.spec.Image}
			coefficient := p.interference.coefficient(pair)
			sent, ok := w.sentCoefficients[pair]
			if ok && coefficient-sent < minRelativeChange*sent && sent-coefficient < minRelativeChange*sent {
				continue
			}
			w.sentCoefficients[pair] = coefficient
			out = append(out, pv.InterferenceCoefficient{Pair: pair, PerCore: coefficient})
		}
	}
	return out
}

// minRelativeChange is the smallest relative change for which a coefficient is sent again.
const minRelativeChange = 0.1

const (
	coefficientsKey           = "presses"
	coefficientsStoreInterval = 5 * time.Second // between two records; coefficients change little in this time
)

type coefficientEntry struct {
	Filler  string  `json:"filler"`
	Serving string  `json:"serving"`
	PerCore float64 `json:"perCore"` // slack per core
}

// coefficientsRecord returns the record of all coefficients, or nil if there are none
// or the last record is less than coefficientsStoreInterval old. It counts a returned
// record as stored.
func (p *Planner) coefficientsRecord(now time.Time) []pv.KeyedRecord {
	if len(p.interference.coefficients) == 0 || now.Sub(p.coefficientsStoredAt) < coefficientsStoreInterval {
		return nil
	}
	p.coefficientsStoredAt = now
	entries := make([]coefficientEntry, 0, len(p.interference.coefficients))
	for pair, coefficient := range p.interference.coefficients {
		entries = append(entries, coefficientEntry{pair.Filler, pair.Serving, coefficient})
	}
	return []pv.KeyedRecord{{Key: coefficientsKey, Value: encode(entries)}}
}

// restoreCoefficients loads the coefficients that a former leader stored. The mean
// of a filler image starts at the plain mean over its pairs.
func (p *Planner) restoreCoefficients(data []byte) error {
	var entries []coefficientEntry
	if err := json.Unmarshal(data, &entries); err != nil {
		return err
	}
	sum, count := map[string]float64{}, map[string]float64{}
	for _, e := range entries {
		coefficient := max(0, min(maxCoefficient, e.PerCore))
		p.interference.coefficients[pv.ImagePair{Filler: e.Filler, Serving: e.Serving}] = coefficient
		sum[e.Filler] += coefficient
		count[e.Filler]++
	}
	for image, s := range sum {
		p.interference.imageMeans[image] = s / count[image]
	}
	return nil
}
