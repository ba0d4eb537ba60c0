package follower

// This file defines the records of the configuration stream.

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	pv "persimmonvalve"
)

// Error is the class of this package's errors.
var Error = errs.Class("configuration")

// Stream is the name of the configuration stream.
const Stream pv.StreamName = "configuration"

// Record is one record of the configuration stream. At most one pointer field is
// set.
type Record struct {
	ID         string      `json:"id"`   // set by the publisher of a change, which finds the verdict by it
	Time       time.Time   `json:"time"` // writer's clock
	Change     *Change     `json:"change,omitempty"`
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
}

// Change replaces one list. It is valid only if Amends is the list's current
// version: of concurrent changes the first in the log wins.
type Change struct {
	List   pv.ListKind `json:"list"`
	Amends pv.Offset   `json:"amends"` // version that the change is based on; NoVersion for none
	Author string      `json:"author"`
	Text   string      `json:"text"`
}

// Checkpoint holds the state of both lists through an offset.
type Checkpoint struct {
	Through pv.Offset `json:"through"` // last offset that the state includes
	State   State     `json:"state"`
}

// List is one list at a version.
type List struct {
	Version pv.Offset `json:"version"` // offset of the change; NoVersion for none
	Author  string    `json:"author,omitempty"`
	Time    time.Time `json:"time,omitzero"`
	Text    string    `json:"text"`
}

// State holds both lists and the offset up to which the stream was applied.
type State struct {
	Plans      List      `json:"plans"`
	Allowances List      `json:"allowances"`
	Next       pv.Offset `json:"next"` // offset after the last record applied
}

// consistent reports whether the lists' versions are offsets before Next, or NoVersion.
// Next is then 0 or more. With a higher version no later change could take effect.
func (s State) consistent() bool {
	return min(s.Plans.Version, s.Allowances.Version) >= NoVersion && max(s.Plans.Version, s.Allowances.Version) < s.Next
}

// Version returns the version of the configuration, the higher one of the two
// lists' versions; NoVersion if neither was published.
func (s State) Version() pv.Offset {
	return max(s.Plans.Version, s.Allowances.Version)
}

func (s *State) listOf(kind pv.ListKind) *List {
	if kind == pv.PlansList {
		return &s.Plans
	}
	return &s.Allowances
}

// NoVersion is the version of a list that hasn't been published.
const NoVersion pv.Offset = -1

func emptyState() State {
	return State{Plans: List{Version: NoVersion}, Allowances: List{Version: NoVersion}}
}

// Encode returns the JSON encoding of a record.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, Error.Wrap(err)
}

func decode(data []byte) Record {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{} // malformed for every reader; changes nothing
	}
	return r
}

// EncodeState returns the JSON encoding of a state, which peers exchange.
func EncodeState(s State) []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic(Error.Wrap(err)) // can't happen: plain data
	}
	return data
}

// DecodeState decodes a peer's state.
func DecodeState(data []byte) (State, error) {
	var s State
	err := json.Unmarshal(data, &s)
	return s, Error.Wrap(err)
}
