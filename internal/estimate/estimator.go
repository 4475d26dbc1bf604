package estimate

import "time"

const (
	// enough is the decayed number of samples from which a level is trusted.
	enough = 6
	// maxCustomers bounds the memory for sketches of customers: about 260 bytes
	// each. Beyond it the least recently used one is dropped, whose customer
	// falls back to the class.
	maxCustomers = 16384
	// freeShare is the mass that any customer may add to a class sketch.
	freeShare = 8
	// shareOfOthers bounds a customer's mass in a class sketch to this multiple
	// of what all others hold there, so that a flood moves the estimate of a
	// customer without history by a bounded part of the distribution only.
	shareOfOthers = 0.5
)

type key struct{ customer, class string }

// level is the sketch of one customer and class; it is an element of the list
// of recently used ones.
type level struct {
	key        key
	sketch     Sketch
	meanCached float64
	// contributed is the decayed mass of this customer in the class sketch.
	contributed float64
	prev, next  *level
}

type classLevel struct {
	sketch     Sketch
	meanCached float64
}

// Estimator estimates one quantity of the requests of a service by customer and
// class. It is not safe for concurrent use.
type Estimator struct {
	unit      float64
	prior     float64
	customers map[key]*level
	recent    level // sentinel; next is the most recently used
	classes   map[string]*classLevel
	service   classLevel
	limit     int
}

// New returns an estimator whose smallest distinguished value is unit and whose
// answer without any data is prior.
func New(unit, prior float64) *Estimator {
	e := &Estimator{unit: unit, prior: prior, customers: map[key]*level{}, classes: map[string]*classLevel{}, limit: maxCustomers}
	e.recent.prev, e.recent.next = &e.recent, &e.recent
	return e
}

// Add records a value of a finished request.
func (e *Estimator) Add(now time.Time, customer, class string, v float64) {
	l := e.customer(key{customer, class})
	l.sketch.add(now, v, e.unit, 1)
	l.meanCached = l.sketch.mean(e.unit)
	c := e.classes[class]
	if c == nil {
		c = &classLevel{}
		e.classes[class] = c
	}
	total := float64(c.sketch.mass)
	l.contributed = min(l.contributed, total)
	if l.contributed+1 > max(freeShare, (total-l.contributed)*shareOfOthers) {
		// The customer's own values still replace each other, so that a class
		// with one customer follows a shift.
		if others := total - l.contributed; others > freeShare {
			return
		}
	}
	c.sketch.add(now, v, e.unit, 1)
	c.meanCached = c.sketch.mean(e.unit)
	l.contributed = l.contributed*(1-1.0/memory) + 1
	e.service.sketch.add(now, v, e.unit, 1)
	e.service.meanCached = e.service.sketch.mean(e.unit)
}

// Mean returns the expected value.
func (e *Estimator) Mean(customer, class string) float64 {
	if l := e.customers[key{customer, class}]; l != nil && l.sketch.mass >= enough {
		return l.meanCached
	}
	if c := e.classes[class]; c != nil && c.sketch.mass >= enough {
		return c.meanCached
	}
	if e.service.sketch.mass >= enough {
		return e.service.meanCached
	}
	return e.prior
}

// Quantile returns the value that a fraction q of the requests stays below.
func (e *Estimator) Quantile(customer, class string, q float64) float64 {
	if l := e.customers[key{customer, class}]; l != nil && l.sketch.mass >= enough {
		return l.sketch.quantile(q, e.unit)
	}
	if c := e.classes[class]; c != nil && c.sketch.mass >= enough {
		return c.sketch.quantile(q, e.unit)
	}
	if e.service.sketch.mass >= enough {
		return e.service.sketch.quantile(q, e.unit)
	}
	return e.prior
}

// ClassMean returns the mean of a class and whether enough is known of it.
func (e *Estimator) ClassMean(class string) (float64, bool) {
	c := e.classes[class]
	if c == nil || c.sketch.mass < enough {
		return 0, false
	}
	return c.meanCached, true
}

// ClassQuantile returns a quantile of a class and whether enough is known of it.
func (e *Estimator) ClassQuantile(class string, q float64) (float64, bool) {
	c := e.classes[class]
	if c == nil || c.sketch.mass < enough {
		return 0, false
	}
	return c.sketch.quantile(q, e.unit), true
}

// Customers returns the number of customer sketches held.
func (e *Estimator) Customers() int { return len(e.customers) }

func (e *Estimator) customer(k key) *level {
	l := e.customers[k]
	if l == nil {
		if len(e.customers) >= e.limit {
			oldest := e.recent.prev
			unlink(oldest)
			delete(e.customers, oldest.key)
		}
		l = &level{key: k}
		e.customers[k] = l
	} else {
		unlink(l)
	}
	l.prev, l.next = &e.recent, e.recent.next
	l.prev.next, l.next.prev = l, l
	return l
}

func unlink(l *level) {
	l.prev.next, l.next.prev = l.next, l.prev
}
