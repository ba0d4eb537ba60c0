package planner

// This file defines how the slowdown of serving tasks by fillers on the same
// worker is learned. A serving task's slack is its latency target divided by its
// tail latency. Tail latency grows like base/(1-utilisation), so the slack falls
// in proportion to the task's own load and to the cores that fillers use:
//
//	slack = baseline - sum over filler images f of k[f]*cores[f]
//
// The baseline follows the load of the task's step, which is the same on all
// workers. k[f] is the interference coefficient of the image pair. Each measured
// slack updates the baseline by a fixed fraction of the error, and the coefficients
// with a normalised least mean squares (NLMS) filter:
//
//	e        = measured slack - predicted slack, limited to ±maxResidual
//	baseline = baseline + baselineLearningRate*e
//	d[f]     = cores[f] - moving average of cores[f]
//	k[f]     = k[f] - coefficientLearningRate*e*d[f] / (1 + sum over g of d[g]²)
//
// The coefficients are updated with deviations from the mean because the baseline
// follows changes of load with a delay. With cores[f] in place of d[f], the error
// due to that delay would be attributed to fillers that are present most of the time.

import (
	"time"

	pv "persimmonvalve"
)

// Parameters of the filter.
const (
	baselineLearningRate    = 0.3  // fraction of the residual by which one measurement corrects the baseline slack
	coefficientLearningRate = 0.1  // NLMS step size of the interference coefficients
	meanCoresSmoothing      = 0.05 // weight of a new value in the moving average of a filler image's cores
	imageMeanSmoothing      = 0.05 // weight of a new value in the moving average of a filler image's coefficients
	maxCoefficient          = 4.0  // slack per core
	maxSlack                = 8.0  // latencies are whole milliseconds, so the slack from small ones is imprecise
	maxResidual             = 1.0  // slack
	defaultBaselineSlack    = 2.0  // of a step without measurements
)

// interference holds the learned interference coefficients.
type interference struct {
	coefficients map[pv.ImagePair]float64
	imageMeans   map[string]float64 // moving average over all serving images, by filler image
}

func newInterference() interference {
	return interference{coefficients: map[pv.ImagePair]float64{}, imageMeans: map[string]float64{}}
}

// coefficient returns the learned coefficient of a pair, else the mean of the pair's
// filler image, else the default.
func (i interference) coefficient(pair pv.ImagePair) float64 {
	if c, ok := i.coefficients[pair]; ok {
		return c
	}
	if c, ok := i.imageMeans[pair.Filler]; ok {
		return c
	}
	return pv.DefaultInterferenceCoefficient
}

// imageCores is a number of cores of tasks of one image.
type imageCores struct {
	image string
	cores float64
}

// slackModel predicts the slack of the tasks of a serving step.
type slackModel struct {
	baselineSlack float64            // slack without fillers
	meanCores     map[string]float64 // moving average of the fillers' cores beside its tasks, by image; nil before the first measurement
}

// predict returns the slack that the model expects of a task beside the fillers, and how much of
// it they take. Both are 0 before the first measurement.
func (i interference) predict(serving string, model *slackModel, fillers []imageCores) (slack, loss float64) {
	if model.meanCores == nil {
		return 0, 0
	}
	for _, f := range fillers {
		loss += i.coefficient(pv.ImagePair{Filler: f.image, Serving: serving}) * f.cores
	}
	return model.baselineSlack - loss, loss
}

// learn updates the model and the coefficients with the measured slack of a serving
// task and the cores that fillers used on its worker at the same time.
func (i interference) learn(serving string, model *slackModel, slack float64, fillers []imageCores) {
	slack = min(slack, maxSlack)
	slackLoss := 0.0
	for _, f := range fillers {
		slackLoss += i.coefficient(pv.ImagePair{Filler: f.image, Serving: serving}) * f.cores
	}
	if model.meanCores == nil {
		model.meanCores = map[string]float64{}
		model.baselineSlack = slack + slackLoss
		return
	}
	residual := max(-maxResidual, min(maxResidual, slack-(model.baselineSlack-slackLoss)))
	model.baselineSlack += baselineLearningRate * residual
	for image, mean := range model.meanCores {
		model.meanCores[image] = mean - meanCoresSmoothing*mean
	}
	for _, f := range fillers {
		model.meanCores[f.image] += meanCoresSmoothing * f.cores
	}
	norm := 1.0
	for _, f := range fillers {
		deviation := f.cores - model.meanCores[f.image]
		norm += deviation * deviation
	}
	for _, f := range fillers {
		pair := pv.ImagePair{Filler: f.image, Serving: serving}
		c := max(0, min(maxCoefficient, i.coefficient(pair)-coefficientLearningRate*residual*(f.cores-model.meanCores[f.image])/norm))
		i.coefficients[pair] = c
		mean, ok := i.imageMeans[f.image]
		if !ok {
			mean = pv.DefaultInterferenceCoefficient
		}
		i.imageMeans[f.image] = mean + imageMeanSmoothing*(c-mean)
	}
}

// colocation summarises the tasks of a worker that determine its fillers' speed.
type colocation struct {
	builtAt      time.Time
	fillers      []imageCores // by image: total size, or in learnFromPoll the measured cores
	servingSteps []*step
	throttling   map[imageCores]throttling // cache, by image and cores of one more filler
}

// maxColocationAge limits the age of a cached colocation: loads change within seconds.
const maxColocationAge = 200 * time.Millisecond

func (p *Planner) colocationOf(w *worker) *colocation {
	if w.colocation != nil && p.passStartedAt.Sub(w.colocation.builtAt) < maxColocationAge {
		return w.colocation
	}
	c := &colocation{builtAt: p.passStartedAt, throttling: map[imageCores]throttling{}}
	for _, r := range w.runs {
		switch s := r.task.step; {
		case s.spec.Filler:
			c.addFiller(s.spec.Image, float64(s.spec.Size.MilliCores)/1000)
		case s.spec.LatencyTarget > 0:
			c.addServing(s)
		}
	}
	w.colocation = c
	return c
}

func (c *colocation) addFiller(image string, cores float64) {
	for i := range c.fillers {
		if c.fillers[i].image == image {
			c.fillers[i].cores += cores
			return
		}
	}
	c.fillers = append(c.fillers, imageCores{image, cores})
}

func (c *colocation) addServing(s *step) {
	for _, o := range c.servingSteps {
		if o == s {
			return
		}
	}
	c.servingSteps = append(c.servingSteps, s)
}

// learnFromPoll learns from the measured values in a poll of the worker.
func (p *Planner) learnFromPoll(now time.Time, w *worker, running []pv.RunStatus) {
	if w.servingRuns == 0 {
		return
	}
	var measured colocation
	for _, s := range running {
		if r, ok := w.runs[s.Run]; ok && r.task.step.spec.Filler && s.Measured > 0 {
			measured.addFiller(r.task.step.spec.Image, float64(s.Measured)/1000) // Measured is in millicores
		}
	}
	for _, s := range running {
		r, ok := w.runs[s.Run]
		if !ok || r.task.step.spec.LatencyTarget <= 0 || s.Measured <= 0 || s.ProgressPercent < 100 {
			continue
		}
		serving := r.task.step
		slack := float64(serving.spec.LatencyTarget.Milliseconds()) / float64(s.Measured) // Measured is in milliseconds
		comparable := serving.runsBesides(now, w)
		if comparable {
			predicted, loss := p.interference.predict(serving.spec.Image, &serving.slackModel, measured.fillers)
			w.sampleServing(now, predicted, loss, slack)
		}
		if !comparable || !w.speed.isSlow(now) {
			p.interference.learn(serving.spec.Image, &serving.slackModel, slack, measured.fillers)
		}
	}
}

// throttling is the expected throttling of one more filler on a worker.
type throttling struct {
	cpuLimit      float64 // fraction of its cores that it may use
	headroomShare float64 // fraction of the serving tasks' slack headroom that it takes, at most 1
}

// steadyHeadroom is the part of the momentary slack headroom that a filler can expect to
// have throughout its run.
const steadyHeadroom = 0.6

// expectedThrottling estimates the throttling of one more filler on the worker. The
// headroom is the slack above pv.MinSlack that is left for the filler:
//
//	headroom = baseline - MinSlack - sum over fillers with k[f] <= k of k[f]*cores[f]
//	cpuLimit = min(1, steadyHeadroom*headroom / (k*cores))
//
// The load of serving tasks swings within the run time of a filler, and CPU limits
// follow measurements that are half a second old. So only a part of the headroom,
// steadyHeadroom, is available to a filler throughout its run.
//
// k and cores are those of the new filler, cores[f] what the others get without
// throttling. Fillers with low coefficients are throttled last, so they keep their
// part of the headroom. The lowest cpuLimit over the serving steps applies.
func (p *Planner) expectedThrottling(w *worker, image string, cores float64) throttling {
	if w.servingRuns == 0 {
		return throttling{cpuLimit: 1}
	}
	colocated := p.colocationOf(w)
	if cached, ok := colocated.throttling[imageCores{image, cores}]; ok {
		return cached
	}
	coreShare := w.fillerCoreShare(0)
	out := throttling{cpuLimit: 1}
	for _, s := range colocated.servingSteps {
		headroom := s.slackModel.baselineSlack
		if s.slackModel.meanCores == nil {
			headroom = defaultBaselineSlack
		}
		headroom -= pv.MinSlack
		coefficient := p.interference.coefficient(pv.ImagePair{Filler: image, Serving: s.spec.Image})
		for _, f := range colocated.fillers {
			if c := p.interference.coefficient(pv.ImagePair{Filler: f.image, Serving: s.spec.Image}); c <= coefficient {
				headroom -= c * f.cores * coreShare
			}
		}
		headroom = steadyHeadroom * max(0, headroom)
		loss := coefficient * cores
		if loss > headroom {
			out = throttling{cpuLimit: min(out.cpuLimit, headroom/loss), headroomShare: 1}
		} else if loss > 0 {
			out.headroomShare = max(out.headroomShare, loss/headroom)
		}
	}
	colocated.throttling[imageCores{image, cores}] = out
	return out
}
