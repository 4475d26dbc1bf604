// Package kernel runs a process as a set of named services with one lifecycle:
// provision, validate, start, stop. Services look each other up by name.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oklog/run"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("kernel")

// ErrNotFound is returned by Lookup for a name that is not registered.
var ErrNotFound = errors.New("service is not registered")

// ErrWrongType is returned by Lookup if the service does not have the requested type.
var ErrWrongType = errors.New("service has another type")

// Service is one named part of a process.
type Service interface {
	// Provision looks up other services and allocates state. It must not start any work.
	Provision(k *Kernel) error
	// Validate checks the provisioned service before any service is started.
	Validate() error
	// Start runs the service and returns when ctx ends or Stop has finished. An error
	// stops the process.
	Start(ctx context.Context) error
	// Stop lets work in flight finish, at the latest until ctx ends, and then makes Start return.
	Stop(ctx context.Context) error
}

// Base implements Service with default lifecycle methods. Services embed it and
// override the methods they need.
type Base struct{}

// Provision does nothing.
func (Base) Provision(*Kernel) error { return nil }

// Validate does nothing.
func (Base) Validate() error { return nil }

// Start blocks until ctx ends.
func (Base) Start(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Stop does nothing.
func (Base) Stop(context.Context) error { return nil }

type registration struct {
	name    string
	service Service
}

// Kernel holds the services of one process in the order of registration.
// Services are started in that order and stopped in reverse order.
type Kernel struct {
	services []registration
	byName   map[string]Service
}

// New returns an empty kernel.
func New() *Kernel { return &Kernel{byName: make(map[string]Service)} }

// Register adds a service. It returns an error if the name is already in use.
func (k *Kernel) Register(name string, s Service) error {
	if _, ok := k.byName[name]; ok {
		return Error.New("service %q is already registered", name)
	}
	k.byName[name] = s
	k.services = append(k.services, registration{name, s})
	return nil
}

// Lookup returns the service with the given name as a T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	s, ok := k.byName[name]
	if !ok {
		return zero, Error.Wrap(fmt.Errorf("%w: %s", ErrNotFound, name))
	}
	t, ok := s.(T)
	if !ok {
		return zero, Error.Wrap(fmt.Errorf("%w: %s is a %T", ErrWrongType, name, s))
	}
	return t, nil
}

// Prepare provisions and validates all services.
func (k *Kernel) Prepare() error {
	for _, r := range k.services {
		if err := r.service.Provision(k); err != nil {
			return Error.New("provision %s: %w", r.name, err)
		}
	}
	for _, r := range k.services {
		if err := r.service.Validate(); err != nil {
			return Error.New("validate %s: %w", r.name, err)
		}
	}
	return nil
}

// Run prepares and starts all services. When stop is closed, it stops them
// gracefully in reverse order. When kill is closed or a service fails, it ends
// all of them immediately.
func (k *Kernel) Run(stop, kill <-chan struct{}) error {
	if err := k.Prepare(); err != nil {
		return err
	}
	var g run.Group
	for _, r := range k.services {
		ctx, cancel := context.WithCancel(context.Background())
		g.Add(func() error {
			if err := r.service.Start(ctx); err != nil {
				return Error.New("%s: %w", r.name, err)
			}
			<-ctx.Done()
			return nil
		}, func(error) { cancel() })
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return k.supervise(ctx, stop, kill) }, func(error) { cancel() })
	return g.Run()
}

// supervise waits until stop or kill is closed or ctx ends. After stop, it stops
// the services in reverse order; kill interrupts a graceful stop.
func (k *Kernel) supervise(ctx context.Context, stop, kill <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-kill:
		return nil
	case <-stop:
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-kill:
			cancel()
		case <-ctx.Done():
		}
	}()
	var group errs.Group
	for i := len(k.services) - 1; i >= 0; i-- {
		r := k.services[i]
		if err := r.service.Stop(ctx); err != nil {
			group.Add(Error.New("stop %s: %w", r.name, err))
		}
	}
	return group.Err()
}

// Sleep waits for d. If ctx ends earlier, it returns the error of ctx.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
