// Package proof holds the tests that run real processes over loopback, kill
// them, freeze them and check the histories that callers and operators saw. It
// has no product code.
package proof
