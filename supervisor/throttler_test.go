package supervisor

import (
	"slices"
	"testing"
	"time"

	pv "persimmonvalve"
)

// workerModel models a worker with fillers and one serving task. The task's slack is
// baselineSlack minus the sum of trueCoefficients * used cores over the fillers.
type workerModel struct {
	throttler        throttler
	now              time.Time
	baselineSlack    float64
	trueCoefficients map[string]float64
	fillers          []fillerTask
}

func newWorkerModel() *workerModel {
	m := &workerModel{throttler: newThrottler(), now: time.Unix(1_800_000_000, 0), baselineSlack: 3, trueCoefficients: map[string]float64{"mild": 0.05, "harsh": 0.8}}
	for i, image := range []string{"harsh", "mild", "harsh", "mild"} {
		m.fillers = append(m.fillers, fillerTask{run: pv.RunRef{Task: pv.TaskRef{Index: i}, Attempt: 1}, image: image, cores: 4})
	}
	return m
}

func (m *workerModel) slack() float64 {
	slack := m.baselineSlack
	for _, f := range m.fillers {
		slack -= m.trueCoefficients[f.image] * f.usedCores
	}
	return max(slack, 0.1)
}

// poll advances the time by half a second and applies the new CPU limits.
func (m *workerModel) poll() {
	m.now = m.now.Add(500 * time.Millisecond)
	percents := m.throttler.cpuLimits(m.now, []servingTask{{image: "serving", slack: m.slack()}}, m.fillers)
	for i := range m.fillers {
		f := &m.fillers[i]
		m.throttler.sentPercents[f.run] = percents[i]
		f.usedCores = f.cores * float64(percents[i]) / 100
	}
}

func (m *workerModel) setTrueCoefficients() {
	for image, coefficient := range m.trueCoefficients {
		m.throttler.coefficients[pv.ImagePair{Filler: image, Serving: "serving"}] = coefficient
	}
}

// Fillers with a low interference coefficient run without a CPU limit beside others
// that are throttled, and the slack headroom is used up.
func TestLowInterferenceFillersFirst(t *testing.T) {
	m := newWorkerModel()
	m.setTrueCoefficients()
	for range 20 {
		m.poll()
	}
	for _, f := range m.fillers {
		if f.image == "mild" && f.usedCores < f.cores {
			t.Errorf("got %.1f of %.1f cores for a mild filler, want all", f.usedCores, f.cores)
		}
	}
	if got := m.slack(); got < pv.MinSlack-0.05 || got > pv.MinSlack+0.3 {
		t.Errorf("got a slack of %.2f, want about %.2f", got, pv.MinSlack)
	}
}

// A serving task whose load rises at the highest observed rate (slack falls by 0.4 per
// second) keeps its target, and the fillers' CPU limits rise again afterwards.
func TestRisingLoad(t *testing.T) {
	m := newWorkerModel()
	m.setTrueCoefficients()
	for range 10 {
		m.poll()
	}
	for m.baselineSlack > 1.6 {
		m.baselineSlack -= 0.2
		if got := m.slack(); got < 1 {
			t.Errorf("got a slack of %.2f, want 1 or more", got)
		}
		m.poll()
	}
	for m.baselineSlack = 4; m.now.Before(time.Unix(1_800_000_030, 0)); {
		m.poll()
	}
	used := 0.0
	for _, f := range m.fillers {
		used += f.usedCores
	}
	if used < 10 {
		t.Errorf("got %.1f cores for fillers at low load, want 10 or more of 16", used)
	}
}

// Fillers whose interference is far above the default coefficient are throttled by
// the AIMD factor until the target is met, if necessary down to 0.
func TestUnderestimatedInterference(t *testing.T) {
	m := newWorkerModel()
	m.trueCoefficients = map[string]float64{"mild": 2, "harsh": 4}
	missed := 0
	for range 40 {
		m.poll()
		if m.slack() < 1 {
			missed++
		} else {
			missed = 0
		}
		if missed > 6 {
			t.Fatalf("got the target missed in %d consecutive polls, want at most 6", missed)
		}
	}
}

// A filler with coefficient 0 runs without a CPU limit, even beside a serving task
// without slack headroom.
func TestFillerWithoutInterference(t *testing.T) {
	th := newThrottler()
	th.coefficients[pv.ImagePair{Filler: "harmless", Serving: "serving"}] = 0
	fillers := []fillerTask{{run: pv.RunRef{Attempt: 1}, image: "harmless", cores: 4, usedCores: 4}}
	got := th.cpuLimits(time.Unix(1_800_000_000, 0), []servingTask{{image: "serving", slack: 1.1}}, fillers)
	if want := []int{fullPercent}; !slices.Equal(got, want) {
		t.Errorf("got CPU limits %v, want %v", got, want)
	}
}

// Fillers with a wrong coefficient of 0 are throttled by the AIMD factor while they
// make a serving task miss its target. A learned coefficient can be wrong; the target
// must be kept all the same.
func TestWrongZeroCoefficient(t *testing.T) {
	m := newWorkerModel()
	for image := range m.trueCoefficients {
		m.throttler.coefficients[pv.ImagePair{Filler: image, Serving: "serving"}] = 0
	}
	for i := range m.fillers {
		m.fillers[i].usedCores = m.fillers[i].cores
	}
	missed, kept := 0, 0
	for range 40 {
		m.poll()
		if m.slack() < 1 {
			missed++
		} else {
			missed = 0
			kept++
		}
		if missed > 6 {
			t.Fatalf("got the target missed in %d consecutive polls, want at most 6", missed)
		}
	}
	if kept < 20 {
		t.Errorf("got the target met after %d of 40 polls, want 20 or more", kept)
	}
}

// siblings returns the serving tasks of one step with their slacks.
func siblings(slacks ...float64) []servingTask {
	var out []servingTask
	for i, slack := range slacks {
		out = append(out, servingTask{image: "serving", slack: slack, step: stepKey{job: "s"}, run: pv.RunRef{Task: pv.TaskRef{Job: "s", Index: i}, Attempt: 1}})
	}
	return out
}

// pollFillers polls for the duration with the same slacks, and returns the last limits of
// a mild and a harsh filler.
func pollFillers(th *throttler, now *time.Time, d time.Duration, serving []servingTask) (mild, harsh int) {
	fillers := []fillerTask{
		{run: pv.RunRef{Task: pv.TaskRef{Index: 0}, Attempt: 1}, image: "mild", cores: 2},
		{run: pv.RunRef{Task: pv.TaskRef{Index: 1}, Attempt: 1}, image: "harsh", cores: 2},
	}
	th.coefficients[pv.ImagePair{Filler: "mild", Serving: "serving"}] = 0.02
	th.coefficients[pv.ImagePair{Filler: "harsh", Serving: "serving"}] = 0.6
	for end := now.Add(d); now.Before(end); {
		*now = now.Add(250 * time.Millisecond)
		percents := th.cpuLimits(*now, serving, fillers)
		for i, f := range fillers {
			th.sentPercents[f.run] = percents[i]
		}
		mild, harsh = percents[0], percents[1]
	}
	return mild, harsh
}

// Rough measurements: one of a step's tasks shows an outlier for a second. A filler that
// takes little from the serving tasks goes on; one that takes much is limited at once.
func TestOutlierOfOneTask(t *testing.T) {
	th, now := newThrottler(), time.Unix(1_800_000_000, 0)
	mild, harsh := pollFillers(&th, &now, 4*time.Second, siblings(3, 3, 3, 3))
	if mild != fullPercent || harsh != fullPercent {
		t.Fatalf("got limits %d and %d beside tasks with much slack, want none", mild, harsh)
	}
	mild, harsh = pollFillers(&th, &now, time.Second, siblings(3, 0.9, 3, 3))
	if mild != fullPercent {
		t.Errorf("got limit %d of the mild filler beside an outlier, want none", mild)
	}
	if harsh != 0 {
		t.Errorf("got limit %d of the harsh filler beside an outlier, want 0", harsh)
	}
}

// A single serving task over its target pauses all fillers long before it has been over
// it for 4 s, the time that its users accept.
func TestPersistentMissPausesFillers(t *testing.T) {
	th, now := newThrottler(), time.Unix(1_800_000_000, 0)
	pollFillers(&th, &now, 4*time.Second, siblings(3, 3, 3, 3))
	const accepted, measurementAndCallDelay = 4 * time.Second, time.Second
	mild, harsh := pollFillers(&th, &now, (accepted-measurementAndCallDelay)/2, siblings(3, 0.9, 3, 3))
	if mild != 0 || harsh != 0 {
		t.Errorf("got limits %d and %d beside a task that stays over its target, want 0", mild, harsh)
	}
	mild, _ = pollFillers(&th, &now, 4*time.Second, siblings(3, 3, 3, 3))
	if mild != fullPercent {
		t.Errorf("got limit %d after the task met its target again, want none", mild)
	}
}

// A load that rises for all tasks of a step limits the fillers within a second.
func TestRisingLoadLimitsFillers(t *testing.T) {
	th, now := newThrottler(), time.Unix(1_800_000_000, 0)
	pollFillers(&th, &now, 4*time.Second, siblings(2.5, 2.5))
	_, harsh := pollFillers(&th, &now, time.Second, siblings(1.3, 1.3))
	if harsh > 20 {
		t.Errorf("got limit %d of the harsh filler beside tasks without headroom, want 20 or less", harsh)
	}
}

// The load of a serving task falls after a peak that stopped all fillers: harmless ones have
// their full speed again as soon as the headroom admits it, others get theirs step by step.
func TestHarmlessFillersAfterPeak(t *testing.T) {
	m := newWorkerModel()
	m.setTrueCoefficients()
	m.trueCoefficients["mild"], m.throttler.coefficients[pv.ImagePair{Filler: "mild", Serving: "serving"}] = 0.02, 0.02
	m.baselineSlack = 0.9
	for range 10 {
		m.poll()
	}
	if got := m.throttler.sentPercents[m.fillers[1].run]; got != 0 {
		t.Fatalf("got %d%% for a harmless filler at the peak, want 0", got)
	}
	m.baselineSlack = 4
	polls := 0
	for m.throttler.sentPercents[m.fillers[1].run] < fullPercent && polls < 100 {
		m.poll()
		polls++
	}
	if harsh := m.throttler.sentPercents[m.fillers[0].run]; harsh >= fullPercent {
		t.Errorf("got %d%% for a filler that disturbs as soon as the harmless one has all, want less", harsh)
	}
	const headroomPolls, factorPolls = 1, 6 // the AIMD factor returns to 1 from its least value
	if polls > headroomPolls+factorPolls {
		t.Errorf("got full speed after %d polls, want at most %d", polls, headroomPolls+factorPolls)
	}
}
