package planner

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	pv "persimmonvalve"
)

// Coefficients of two filler images are learned from noisy slack measurements while
// both images run beside a serving task with a varying load.
func TestLearnedInterference(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	trueCoefficients := map[string]float64{"calm": 0.02, "loud": 0.6}
	i := newInterference()
	var model slackModel
	for n := range 600 {
		fillers := []imageCores{{"calm", 4 * random.Float64()}, {"loud", 2 * random.Float64()}}
		slack := 3.2 + 1.4*math.Sin(float64(n)/40)
		for _, f := range fillers {
			slack -= trueCoefficients[f.image] * f.cores
		}
		i.learn("serving", &model, slack*(0.95+0.1*random.Float64()), fillers)
	}
	for image, want := range trueCoefficients {
		if got := i.coefficient(pv.ImagePair{Filler: image, Serving: "serving"}); math.Abs(got-want) > 0.2 {
			t.Errorf("%s: got coefficient %.2f per core, want about %.2f", image, got, want)
		}
	}
	if calm, loud := i.coefficient(pv.ImagePair{Filler: "calm", Serving: "other"}), i.coefficient(pv.ImagePair{Filler: "loud", Serving: "other"}); calm >= loud {
		t.Errorf("serving image without measurements: got coefficient %.2f for filler calm and %.2f for filler loud, want calm below loud", calm, loud)
	}
}

// A new leader starts with the coefficients that the former leader learned.
func TestCoefficientsSurviveTakeover(t *testing.T) {
	h := newHarness(t)
	pair := pv.ImagePair{Filler: "f", Serving: "s"}
	h.p.interference.coefficients[pair] = 0.7
	h.advance(time.Second)
	if got := h.successor().p.interference.coefficient(pair); got != 0.7 {
		t.Errorf("got coefficient %.2f, want 0.70", got)
	}
	if got := h.successor().p.interference.coefficient(pv.ImagePair{Filler: "f", Serving: "other"}); got != 0.7 {
		t.Errorf("serving image without measurements: got coefficient %.2f, want the mean of the filler image, 0.70", got)
	}
}
