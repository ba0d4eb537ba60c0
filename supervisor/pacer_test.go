package supervisor

import (
	"slices"
	"testing"
	"time"

	pv "persimmonvalve"
)

// yard is a worker with one serving task whose slack falls with its load and
// with the fillers beside it, as their true presses have it.
type yard struct {
	pacer   pacer
	now     time.Time
	calm    float64
	truth   map[string]float64
	fillers []fillerTask
}

func newYard() *yard {
	y := &yard{pacer: newPacer(), now: time.Unix(1_800_000_000, 0), calm: 3, truth: map[string]float64{"mild": 0.05, "harsh": 0.8}}
	for i, image := range []string{"harsh", "mild", "harsh", "mild"} {
		y.fillers = append(y.fillers, fillerTask{run: pv.RunRef{Task: pv.TaskRef{Index: i}, Attempt: 1}, image: image, cores: 4})
	}
	return y
}

func (y *yard) slack() float64 {
	slack := y.calm
	for _, f := range y.fillers {
		slack -= y.truth[f.image] * f.using
	}
	return max(slack, 0.1)
}

// look passes half a second and takes over the paces.
func (y *yard) look() {
	y.now = y.now.Add(500 * time.Millisecond)
	paces := y.pacer.plan(y.now, []servingTask{{"serving", y.slack()}}, y.fillers)
	for i := range y.fillers {
		f := &y.fillers[i]
		y.pacer.given[f.run] = paces[i]
		f.using = f.cores * float64(paces[i]) / 100
	}
}

func (y *yard) teach() {
	for image, press := range y.truth {
		y.pacer.presses[pv.ImagePair{Filler: image, Serving: "serving"}] = press
	}
}

// Fillers that hardly disturb work at full pace beside others that must be slow,
// and the room that there is gets used.
func TestMildFillersFirst(t *testing.T) {
	y := newYard()
	y.teach()
	for range 20 {
		y.look()
	}
	for _, f := range y.fillers {
		if f.image == "mild" && f.using < f.cores {
			t.Errorf("got %.1f of %.1f cores for a mild filler, want all", f.using, f.cores)
		}
	}
	if got := y.slack(); got < pv.MinSlack-0.05 || got > pv.MinSlack+0.3 {
		t.Errorf("got a slack of %.2f, want about %.2f", got, pv.MinSlack)
	}
}

// A load that rises as fast as seen (slack falls by 0.4 a second) never brings the task to its
// target, and the fillers get their pace back afterwards.
func TestRisingLoad(t *testing.T) {
	y := newYard()
	y.teach()
	for range 10 {
		y.look()
	}
	for y.calm > 1.6 {
		y.calm -= 0.2
		if got := y.slack(); got < 1 {
			t.Errorf("got a slack of %.2f, want the target kept", got)
		}
		y.look()
	}
	for y.calm = 4; y.now.Before(time.Unix(1_800_000_030, 0)); {
		y.look()
	}
	used := 0.0
	for _, f := range y.fillers {
		used += f.using
	}
	if used < 10 {
		t.Errorf("got %.1f cores for fillers at low load, want 10 or more of 16", used)
	}
}

// Where fillers disturb far more than is known of them, they are halved until
// the target is kept, at last stopped.
func TestUnknownHarm(t *testing.T) {
	y := newYard()
	y.truth = map[string]float64{"mild": 2, "harsh": 4}
	missed := 0
	for range 40 {
		y.look()
		if y.slack() < 1 {
			missed++
		} else {
			missed = 0
		}
		if missed > 6 {
			t.Fatalf("the target is missed for %d looks on end", missed)
		}
	}
}

// A filler that takes nothing from a serving task works at full pace also where
// that task has nothing left.
func TestHarmlessFiller(t *testing.T) {
	p := newPacer()
	p.presses[pv.ImagePair{Filler: "harmless", Serving: "serving"}] = 0
	fillers := []fillerTask{{run: pv.RunRef{Attempt: 1}, image: "harmless", cores: 4, using: 4}}
	got := p.plan(time.Unix(1_800_000_000, 0), []servingTask{{"serving", 1.1}}, fillers)
	if want := []int{fullPace}; !slices.Equal(got, want) {
		t.Errorf("got paces %v, want %v", got, want)
	}
}

// Fillers that are taken to be harmless and aren't are cut all the same: what is
// learned may be wrong, the target isn't.
func TestWrongPress(t *testing.T) {
	y := newYard()
	for image := range y.truth {
		y.pacer.presses[pv.ImagePair{Filler: image, Serving: "serving"}] = 0
	}
	for i := range y.fillers {
		y.fillers[i].using = y.fillers[i].cores
	}
	missed, kept := 0, 0
	for range 40 {
		y.look()
		if y.slack() < 1 {
			missed++
		} else {
			missed = 0
			kept++
		}
		if missed > 6 {
			t.Fatalf("the target is missed for %d looks on end", missed)
		}
	}
	if kept < 20 {
		t.Errorf("got the target kept in %d of 40 looks, want half or more", kept)
	}
}
