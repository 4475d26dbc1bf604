package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"auburnstep.example/auburnstep/internal/endpointapi"
	"auburnstep.example/auburnstep/internal/event"
	schedulerv1 "auburnstep.example/auburnstep/internal/rpc/schedulerv1"
	"auburnstep.example/auburnstep/internal/settings"
	"auburnstep.example/auburnstep/internal/text"
	"auburnstep.example/auburnstep/internal/verdict"
)

const (
	// maxAnnouncement bounds the size of an announcement in bytes.
	maxAnnouncement = 1 << 20
	// announceInterval is the time between two announcements of an endpoint. The
	// default lease of 3 s survives the loss of two announcements.
	announceInterval = time.Second
	defaultLease     = 3 * time.Second
	maxLease         = 30 * time.Second
	// maxTokensPerSecond bounds the pace that an endpoint may state, far above that of any
	// engine.
	maxTokensPerSecond = 1_000_000
	maxSlots           = 4096
	// announceTimeout bounds the call to the group's scheduler.
	announceTimeout = time.Second
)

// handleAnnounce serves POST /endpoints/v1/announce. It forwards the announcement to
// the scheduler of the endpoint's group and confirms it only after the scheduler has
// accepted it.
func (s *Server) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	setReadDeadline(w, s.bodyTimeout)
	if !s.endpointAuthorized(r) {
		writeError(w, verdict.Refused(http.StatusUnauthorized, "invalid_endpoint_token", "the endpoint token is missing or not valid"))
		return
	}
	body, refusal := readBody(w, r, maxAnnouncement)
	if refusal != nil {
		writeError(w, refusal)
		return
	}
	var a endpointapi.Announcement
	if err := json.Unmarshal(body, &a); err != nil {
		writeError(w, verdict.Refused(http.StatusBadRequest, "invalid_announcement", "the body is not an announcement: "+err.Error()))
		return
	}
	resync, refusal := s.forwardAnnouncement(r.Context(), &a)
	if refusal != nil {
		s.opts.Events.Emit(eventAnnouncementRefused, event.F("endpoint", quote(a.ID)), event.F("service", quote(a.Service)), event.F("error", refusal.Message))
		writeError(w, refusal)
		return
	}
	if a.Leaving {
		s.opts.Events.Emit(eventEndpointLeaving, event.F("endpoint", a.ID), event.F("service", a.Service))
	}
	writeJSON(w, endpointapi.AnnounceResponse{RenewAfterMS: announceInterval.Milliseconds(), Entries: s.entryList().Entries, Resync: resync})
}

// endpointAuthorized checks the endpoint's token. If no tokens are configured,
// announcements are accepted from loopback addresses only.
func (s *Server) endpointAuthorized(r *http.Request) bool {
	if len(s.opts.EndpointTokens) == 0 {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		return err == nil && net.ParseIP(host).IsLoopback()
	}
	given := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
	valid := 0
	for _, token := range s.opts.EndpointTokens {
		want := sha256.Sum256([]byte(token))
		valid |= subtle.ConstantTimeCompare(given[:], want[:])
	}
	return valid == 1
}

// forwardAnnouncement sends an announcement to the scheduler of its group and reports
// whether the scheduler requests the complete list of cached prefixes.
func (s *Server) forwardAnnouncement(ctx context.Context, a *endpointapi.Announcement) (resync bool, refusal *verdict.Error) {
	service, ok := s.opts.View.Index().Service(a.Service)
	if !ok {
		return false, verdict.Refused(http.StatusNotFound, "unknown_service", "service "+quote(a.Service)+" does not exist in the settings")
	}
	if refusal := validateAnnouncement(a, service); refusal != nil {
		return false, refusal
	}
	group := GroupOf(service, a.ID)
	holder, _, ok := s.opts.Directory.Holder(group)
	if !ok {
		return false, verdict.Overloaded("no_scheduler", "no scheduler is assigned to group "+group, time.Second)
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	res, err := s.opts.Dial(holder).Announce(ctx, connect.NewRequest(&schedulerv1.AnnounceRequest{
		Group: group, Endpoints: []*schedulerv1.Endpoint{endpointToProto(a)},
	}))
	if err != nil {
		return false, verdict.Overloaded("no_scheduler", "the scheduler of group "+group+" did not take the announcement", time.Second).WithCause(err)
	}
	return slices.Contains(res.Msg.Resync, a.ID), nil
}

// GroupOf returns the group of an endpoint, which is chosen by the hash of its ID.
func GroupOf(service *settings.ServicePolicy, endpoint string) string {
	n := xxhash.Sum64String(endpoint) % uint64(max(service.Groups, 1))
	return service.Name + "/" + strconv.FormatUint(n, 10)
}

// validateAnnouncement refuses an announcement that the scheduler could not use.
func validateAnnouncement(a *endpointapi.Announcement, service *settings.ServicePolicy) *verdict.Error {
	invalid := func(message string) *verdict.Error {
		return verdict.Refused(http.StatusBadRequest, "invalid_announcement", message)
	}
	if err := checkAnnouncedText(a); err != nil {
		return invalid(err.Error())
	}
	if !hasNumericPort(a.Address) {
		return invalid("\"address\" is " + quote(a.Address) + "; allowed is host:port")
	}
	if kind := endpointKind(service); a.Kind != kind {
		return invalid("\"kind\" is " + quote(a.Kind) + "; service " + service.Name + " has kind " + kind)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return invalid("\"slots\" is " + strconv.Itoa(a.Slots) + "; allowed are 1 to " + strconv.Itoa(maxSlots))
	}
	if a.LeaseMS < 0 || a.LeaseMS > maxLease.Milliseconds() {
		return invalid("\"lease_ms\" is " + strconv.FormatInt(a.LeaseMS, 10) + "; allowed are 0 to " + strconv.FormatInt(maxLease.Milliseconds(), 10))
	}
	if a.TokensPerSecond < 0 || a.TokensPerSecond > maxTokensPerSecond {
		return invalid("\"tokens_per_second\" must be 0 to " + strconv.Itoa(maxTokensPerSecond))
	}
	if l := a.Load; l != nil && (min(l.Running, l.Waiting) < 0 || max(l.Running, l.Waiting) > math.MaxInt32 || l.KVUsed < 0 || l.KVUsed > math.MaxFloat32) {
		return invalid("\"load\" holds a number that is negative or too large")
	}
	return nil
}

// checkAnnouncedText checks what an announcement names. The failure domain may be missing.
func checkAnnouncedText(a *endpointapi.Announcement) error {
	errs := []error{text.CheckID("the id", a.ID), text.CheckName("the address", a.Address)}
	if a.FailureDomain != "" {
		errs = append(errs, text.CheckName("the failure domain", a.FailureDomain))
	}
	for _, name := range slices.Concat(a.Models, a.Adapters, a.Loading) {
		errs = append(errs, text.CheckName("the model or adapter", name))
	}
	for _, e := range a.CacheEvents {
		if e.Prefix != "" {
			errs = append(errs, text.CheckID("the prefix of a cache event", e.Prefix))
		}
	}
	return errors.Join(errs...)
}

// hasNumericPort reports whether an address is host:port with a port from 1 to 65535.
func hasNumericPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

func endpointKind(service *settings.ServicePolicy) string {
	if service.Engine {
		return endpointapi.KindEngine
	}
	return endpointapi.KindPlain
}

func endpointToProto(a *endpointapi.Announcement) *schedulerv1.Endpoint {
	e := &schedulerv1.Endpoint{
		Id: a.ID, Incarnation: a.Incarnation, Service: a.Service, Kind: a.Kind, Address: a.Address, Models: a.Models,
		Adapters: a.Adapters, Loading: a.Loading, Slots: uint32(a.Slots), TokensPerSecond: float32(a.TokensPerSecond), FailureDomain: a.FailureDomain,
		ChecksOrders: a.ChecksOrders, RefusesOldFencing: a.RefusesOldFencing, LeaseMs: uint32(a.LeaseMS), Leaving: a.Leaving,
	}
	if e.LeaseMs == 0 {
		e.LeaseMs = uint32(defaultLease.Milliseconds())
	}
	if a.Load != nil {
		e.Load = &schedulerv1.Load{
			Running: uint32(a.Load.Running), Waiting: uint32(a.Load.Waiting), KvUsed: float32(a.Load.KVUsed), MeasuredAtMs: a.Load.MeasuredAtMS,
		}
	}
	for _, c := range a.CacheEvents {
		// A malformed prefix matches no request. Its event is still forwarded, because
		// the scheduler treats a gap in the sequence numbers as lost events.
		prefix, _ := strconv.ParseUint(c.Prefix, 16, 64)
		e.CacheEvents = append(e.CacheEvents, &schedulerv1.CacheEvent{
			Sequence: c.Sequence, Prefix: prefix, Stored: c.Kind == endpointapi.CacheStored, Cleared: c.Kind == endpointapi.CacheCleared,
		})
	}
	return e
}
