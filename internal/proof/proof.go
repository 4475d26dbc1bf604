// Package proof contains fault-injection tests. They run daemon processes over
// loopback, kill and freeze them, and check the recorded histories of callers
// and operators. The package has no product code.
package proof
