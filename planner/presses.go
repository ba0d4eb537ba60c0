package planner

// This file defines who hears of the learned presses: the agents of the workers
// on which a pair meets, and later leaders, which read them in the jobs topic and
// needn't learn them from missed targets again.

import (
	"encoding/json"
	"time"

	pv "persimmonvalve"
)

// pressesToTell returns what an agent hasn't been told of the pairs on its worker.
func (p *Planner) pressesToTell(w *worker) []pv.InterferenceCoefficient {
	if w.serving == 0 || w.filler == 0 {
		return nil
	}
	var out []pv.InterferenceCoefficient
	m := p.mixOf(w)
	for _, f := range m.fillers {
		for _, s := range m.serving {
			pair := pv.ImagePair{Filler: f.image, Serving: s.spec.Image}
			press := p.interference.pressOf(pair)
			told, ok := w.pressTold[pair]
			if ok && press-told < worthTelling*told && told-press < worthTelling*told {
				continue
			}
			w.pressTold[pair] = press
			out = append(out, pv.InterferenceCoefficient{Pair: pair, PerCore: press})
		}
	}
	return out
}

// worthTelling is the share by which a press must change for its agents to hear.
const worthTelling = 0.1

const (
	pressKey   = "presses"
	pressEvery = 5 * time.Second // between two records; presses change slowly against it
)

type pressRecord struct {
	Filler  string  `json:"filler"`
	Serving string  `json:"serving"`
	PerCore float64 `json:"perCore"`
}

// pressesRecord returns the record of all presses, nil when it isn't due.
func (p *Planner) pressesRecord(now time.Time) []pv.KeyedRecord {
	if len(p.interference.press) == 0 || now.Sub(p.pressesAt) < pressEvery {
		return nil
	}
	p.pressesAt = now
	out := make([]pressRecord, 0, len(p.interference.press))
	for pair, press := range p.interference.press {
		out = append(out, pressRecord{pair.Filler, pair.Serving, press})
	}
	return []pv.KeyedRecord{{Key: pressKey, Value: encode(out)}}
}

// restorePresses takes over what a former leader learned.
func (p *Planner) restorePresses(data []byte) error {
	var records []pressRecord
	if err := json.Unmarshal(data, &records); err != nil {
		return err
	}
	sum, count := map[string]float64{}, map[string]float64{}
	for _, r := range records {
		press := max(0, min(mostPress, r.PerCore))
		p.interference.press[pv.ImagePair{Filler: r.Filler, Serving: r.Serving}] = press
		sum[r.Filler] += press
		count[r.Filler]++
	}
	for image, s := range sum {
		p.interference.typical[image] = s / count[image]
	}
	return nil
}
