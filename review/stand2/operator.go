package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator sends tables to control members, one after the other, as PROTOCOL.md says.
type operator struct {
	control []string
	client  *http.Client
	next    int
}

func newOperator(control []string) *operator {
	return &operator{control: control, client: &http.Client{Timeout: 2 * time.Second}}
}

// put sends a table until it is acknowledged or refused, for limit at most. It returns the last
// status, 0 if there was no response.
func (o *operator) put(body []byte, limit time.Duration) (status int) {
	for end := time.Now().Add(limit); ; {
		address := o.control[o.next%len(o.control)]
		req, err := http.NewRequest(http.MethodPut, "http://"+address+"/auburnstep/config", bytes.NewReader(body))
		if err != nil {
			return 0
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := o.client.Do(req)
		status = 0
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			status = resp.StatusCode
		}
		if status == http.StatusOK || status >= 400 && status < 500 && status != 408 && status != 429 {
			return status
		}
		if !time.Now().Before(end) {
			return status
		}
		o.next++
		time.Sleep(100 * time.Millisecond)
	}
}

// read reads the table from a member. It returns the version, 0 if there was none.
func (o *operator) read(address string) (version uint64, status int) {
	resp, err := o.client.Get("http://" + address + "/auburnstep/config")
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	var t struct {
		Version uint64 `json:"version"`
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(&t); err != nil {
			return 0, 0
		}
	}
	return t.Version, resp.StatusCode
}

// route is a route in the form of PROTOCOL.md.
func route(name, prefix, kind, service string, attempts int, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": "ficu95.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 15000, "targetLatencyMs": 600, "priority": 0,
		"service": service, "attempts": attempts, "public": false, "sticky": false, "canResume": false, "maxGapMs": 0,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// table returns a desired state with the given routes and the tenant "huka270".
func table(version uint64, routes []any, services ...string) []byte {
	var list []any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 240, "proto": "h1", "tls": false})
	}
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "apiKeys": []string{"xd9dnn2ctnfzs989anu6"}, "priority": 1}},
	})
	if err != nil {
		panic(fmt.Sprint("the table cannot be encoded: ", err))
	}
	return b
}
