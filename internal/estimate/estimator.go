package estimate

import "time"

const (
	// minSamples is the decayed number of samples that a sketch needs before its
	// estimates are used.
	minSamples = 6
	// maxCustomers bounds the memory for the sketches of customers, which take
	// about 260 bytes each. When the limit is reached, the least recently used
	// sketch is dropped and its customer falls back to the estimate of the class.
	maxCustomers = 16384
	// guaranteedClassMass is the mass that any customer may have in a class sketch,
	// however little the others have there.
	guaranteedClassMass = 8
	// maxRatioToOthers limits a customer's mass in a class sketch to this multiple
	// of the mass of all others, so that a flood of requests from one customer
	// shifts the estimate for customers without history only to a bounded degree.
	maxRatioToOthers = 0.5
)

type key struct{ customer, class string }

// customerSketch is the sketch of one customer and class. It is an element of the
// list that orders sketches by their latest use.
type customerSketch struct {
	key        key
	sketch     Sketch
	cachedMean float64
	// classMass is the decayed mass of this customer in the class sketch.
	classMass  float64
	prev, next *customerSketch
}

// sharedSketch is the sketch of a class or of the whole service.
type sharedSketch struct {
	sketch     Sketch
	cachedMean float64
}

// Estimator estimates one quantity of the requests of a service. It uses the
// sketch of the customer and class, or else that of the class, or else that of the
// service, whichever is the first with enough samples. It is not safe for
// concurrent use.
type Estimator struct {
	unit          float64
	prior         float64
	customers     map[key]*customerSketch
	recent        customerSketch // list sentinel; next is the most recently used sketch
	classes       map[string]*sharedSketch
	service       sharedSketch
	customerLimit int
}

// New returns an estimator that does not distinguish values below unit and that
// returns prior until it has enough samples.
func New(unit, prior float64) *Estimator {
	e := &Estimator{unit: unit, prior: prior, customers: map[key]*customerSketch{}, classes: map[string]*sharedSketch{}, customerLimit: maxCustomers}
	e.recent.prev, e.recent.next = &e.recent, &e.recent
	return e
}

// Add records the value v of a finished request.
func (e *Estimator) Add(now time.Time, customer, class string, v float64) {
	l := e.customer(key{customer, class})
	l.sketch.add(now, v, e.unit, 1)
	l.cachedMean = l.sketch.mean(e.unit)
	c := e.classes[class]
	if c == nil {
		c = &sharedSketch{}
		e.classes[class] = c
	}
	total := float64(c.sketch.mass)
	l.classMass = min(l.classMass, total)
	if l.classMass+1 > max(guaranteedClassMass, (total-l.classMass)*maxRatioToOthers) {
		// While the others hold little mass, values are still added, so that a
		// class with a single customer follows a shift.
		if others := total - l.classMass; others > guaranteedClassMass {
			return
		}
	}
	c.sketch.add(now, v, e.unit, 1)
	c.cachedMean = c.sketch.mean(e.unit)
	l.classMass = l.classMass*(1-1.0/decaySamples) + 1
	e.service.sketch.add(now, v, e.unit, 1)
	e.service.cachedMean = e.service.sketch.mean(e.unit)
}

// Mean returns the expected value.
func (e *Estimator) Mean(customer, class string) float64 {
	if l := e.customers[key{customer, class}]; l != nil && l.sketch.mass >= minSamples {
		return l.cachedMean
	}
	if c := e.classes[class]; c != nil && c.sketch.mass >= minSamples {
		return c.cachedMean
	}
	if e.service.sketch.mass >= minSamples {
		return e.service.cachedMean
	}
	return e.prior
}

// Quantile returns the value below which a fraction q of the requests lies.
func (e *Estimator) Quantile(customer, class string, q float64) float64 {
	if l := e.customers[key{customer, class}]; l != nil && l.sketch.mass >= minSamples {
		return l.sketch.quantile(q, e.unit)
	}
	if c := e.classes[class]; c != nil && c.sketch.mass >= minSamples {
		return c.sketch.quantile(q, e.unit)
	}
	if e.service.sketch.mass >= minSamples {
		return e.service.sketch.quantile(q, e.unit)
	}
	return e.prior
}

// ClassMean returns the mean of a class and whether it has enough samples.
func (e *Estimator) ClassMean(class string) (float64, bool) {
	c := e.classes[class]
	if c == nil || c.sketch.mass < minSamples {
		return 0, false
	}
	return c.cachedMean, true
}

// ClassQuantile returns the quantile q of a class and whether the class has enough
// samples.
func (e *Estimator) ClassQuantile(class string, q float64) (float64, bool) {
	c := e.classes[class]
	if c == nil || c.sketch.mass < minSamples {
		return 0, false
	}
	return c.sketch.quantile(q, e.unit), true
}

// Customers returns the number of customer sketches that the estimator holds.
func (e *Estimator) Customers() int { return len(e.customers) }

// customer returns the sketch for k and marks it as the most recently used. It
// creates the sketch if there is none.
func (e *Estimator) customer(k key) *customerSketch {
	l := e.customers[k]
	if l == nil {
		if len(e.customers) >= e.customerLimit {
			oldest := e.recent.prev
			unlink(oldest)
			delete(e.customers, oldest.key)
		}
		l = &customerSketch{key: k}
		e.customers[k] = l
	} else {
		unlink(l)
	}
	l.prev, l.next = &e.recent, e.recent.next
	l.prev.next, l.next.prev = l, l
	return l
}

func unlink(l *customerSketch) {
	l.prev.next, l.next.prev = l.next, l.prev
}
