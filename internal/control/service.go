package control

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/rpc/consensusv1"
	"auburnstep.example/auburnstep/internal/rpc/consensusv1/consensusv1connect"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/controlv1/controlv1connect"
	"auburnstep.example/auburnstep/internal/rpc/transport"
)

// Service exposes a Member to the RPCs of other processes. Most calls need the
// leader: other members respond with its address, or with the error Unavailable
// if they know no leader. Followers serve polls of the feed as well.
// DeadlineExceeded means that the outcome is unknown.
type Service struct{ member *Member }

var (
	_ controlv1connect.ControlHandler = (*Service)(nil)
	_ consensusv1connect.PeerHandler  = (*Service)(nil)
)

// NewService returns the service of a member.
func NewService(m *Member) *Service { return &Service{member: m} }

// Register adds the handlers to a server.
func (s *Service) Register(server *transport.Server) {
	path, h := controlv1connect.NewControlHandler(s, server.HandlerOptions())
	server.Handle(path, h, transport.AnyRole, map[string]transport.Role{
		controlv1connect.ControlFeedProcedure:       transport.PeerRole,
		controlv1connect.ControlProveProcedure:      transport.PeerRole,
		controlv1connect.ControlBookingProcedure:    transport.PeerRole,
		controlv1connect.ControlChangeProcedure:     transport.OperatorRole,
		controlv1connect.ControlResultProcedure:     transport.OperatorRole,
		controlv1connect.ControlSettingsProcedure:   transport.OperatorRole,
		controlv1connect.ControlPutRoutingProcedure: transport.AnyRole,
		controlv1connect.ControlRoutingProcedure:    transport.AnyRole,
	})
	path, h = consensusv1connect.NewPeerHandler(s, server.HandlerOptions())
	server.Handle(path, h, transport.PeerRole, nil)
}

// errNoLeader returns the error Unavailable, for calls that need a leader, or a
// proof from one, and currently cannot get it.
func errNoLeader() error { return connect.NewError(connect.CodeUnavailable, ErrNotLeader) }

// redirect returns the address of the leader for a response, or errNoLeader.
func (m *Member) redirect() (string, error) {
	if a := m.leaderAddress(); a != "" {
		return a, nil
	}
	return "", errNoLeader()
}

// connectError maps the error of an operation on the log to the error of the RPC.
func connectError(err error) error {
	switch {
	case errors.Is(err, ErrOutcomeUnknown):
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	case errors.Is(err, ErrBusy):
		return connect.NewError(connect.CodeResourceExhausted, err)
	case errors.Is(err, ErrNotLeader), errors.Is(err, ErrSuperseded), errors.Is(err, ErrStopped):
		return connect.NewError(connect.CodeUnavailable, err)
	}
	if errors.Is(err, consensus.ErrRemovedID) {
		return connect.NewError(connect.CodeNotFound, err) // See Member.join.
	}
	return connect.NewError(connect.CodeFailedPrecondition, err)
}

// withDeadline bounds the time of a call, also if its caller set no deadline.
func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, 5*defaultCallTimeout)
}

// Step implements consensusv1connect.PeerHandler.
func (s *Service) Step(ctx context.Context, r *connect.Request[consensusv1.StepRequest]) (*connect.Response[consensusv1.StepResponse], error) {
	if err := s.member.HandleStep(ctx, r.Header().Get(transport.SenderHeader), r.Msg); err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&consensusv1.StepResponse{}), nil
}

// Snapshot implements consensusv1connect.PeerHandler.
func (s *Service) Snapshot(ctx context.Context, r *connect.Request[consensusv1.SnapshotChunk]) (*connect.Response[consensusv1.SnapshotProgress], error) {
	next, err := s.member.HandleSnapshot(ctx, r.Header().Get(transport.SenderHeader), r.Msg)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&consensusv1.SnapshotProgress{NextOffset: next}), nil
}

// Change implements controlv1connect.ControlHandler.
func (s *Service) Change(ctx context.Context, r *connect.Request[controlv1.ChangeRequest]) (*connect.Response[controlv1.ChangeResponse], error) {
	return connectResponse(s.member.Change(ctx, r.Msg))
}

// Result implements controlv1connect.ControlHandler. A change without a result is
// NotFound: it has not been applied, but still may be if it is in progress.
func (s *Service) Result(ctx context.Context, r *connect.Request[controlv1.ResultRequest]) (*connect.Response[controlv1.ChangeResponse], error) {
	return connectResponse(s.member.Result(ctx, r.Msg))
}

// Settings implements controlv1connect.ControlHandler.
func (s *Service) Settings(ctx context.Context, _ *connect.Request[controlv1.SettingsRequest]) (*connect.Response[controlv1.SettingsResponse], error) {
	return connectResponse(s.member.Settings(ctx))
}

// Feed implements controlv1connect.ControlHandler.
func (s *Service) Feed(ctx context.Context, r *connect.Request[controlv1.FeedRequest]) (*connect.Response[controlv1.FeedResponse], error) {
	return connectResponse(s.member.Feed(ctx, r.Msg))
}

// Prove implements controlv1connect.ControlHandler.
func (s *Service) Prove(_ context.Context, r *connect.Request[controlv1.ProveRequest]) (*connect.Response[controlv1.ProveResponse], error) {
	return connectResponse(s.member.Prove(r.Msg))
}

// Booking implements controlv1connect.ControlHandler.
func (s *Service) Booking(ctx context.Context, r *connect.Request[controlv1.BookingRequest]) (*connect.Response[controlv1.BookingResponse], error) {
	return connectResponse(s.member.Booking(ctx, r.Msg))
}

// PutRouting implements controlv1connect.ControlHandler.
func (s *Service) PutRouting(ctx context.Context, r *connect.Request[controlv1.PutRoutingRequest]) (*connect.Response[controlv1.PutRoutingResponse], error) {
	return connectResponse(s.member.PutRouting(ctx, r.Msg))
}

// Routing implements controlv1connect.ControlHandler.
func (s *Service) Routing(ctx context.Context, _ *connect.Request[controlv1.RoutingRequest]) (*connect.Response[controlv1.RoutingResponse], error) {
	return connectResponse(s.member.Routing(ctx))
}

// Status implements controlv1connect.ControlHandler.
func (s *Service) Status(context.Context, *connect.Request[controlv1.StatusRequest]) (*connect.Response[controlv1.StatusResponse], error) {
	return connect.NewResponse(s.member.Status()), nil
}

// Member implements controlv1connect.ControlHandler. Processes may add themselves, and
// remove themselves before they stop; only operators remove others.
func (s *Service) Member(ctx context.Context, r *connect.Request[controlv1.MemberRequest]) (*connect.Response[controlv1.MemberResponse], error) {
	if a := r.Msg.GetAddress(); r.Msg.GetRemove() && transport.RoleOf(ctx)&transport.OperatorRole == 0 && (a == "" || a != r.Header().Get(transport.SenderHeader)) {
		return nil, connect.NewError(connect.CodePermissionDenied, errors.New("only operators remove other members"))
	}
	return connectResponse(s.member.ChangeMember(ctx, r.Msg))
}

func connectResponse[T any](msg *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(msg), nil
}

// ChangeMember adds or removes a member; see controlv1.MemberRequest.
func (m *Member) ChangeMember(ctx context.Context, r *controlv1.MemberRequest) (*controlv1.MemberResponse, error) {
	if _, ok := m.lease(); !ok {
		a, err := m.redirect()
		return &controlv1.MemberResponse{LeaderAddress: a}, err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*membershipWaitTimeout)
	defer cancel()
	change := m.addMember
	switch {
	case r.GetRemove() && r.GetAddress() != "":
		change = m.removeLeaving
	case r.GetRemove():
		change = func(ctx context.Context, r *controlv1.MemberRequest) (string, error) {
			return m.removeMember(ctx, r.GetId())
		}
	}
	message, err := change(ctx, r)
	if err != nil {
		return nil, connectError(err)
	}
	return &controlv1.MemberResponse{Message: message}, nil
}

// Status describes this member and the cluster as far as this member knows it. A
// member that has never been part of a cluster lists only itself, with term 0.
func (m *Member) Status() *controlv1.StatusResponse {
	s := m.status.Load()
	_, leads := m.lease()
	out := &controlv1.StatusResponse{Term: s.Term, Commit: s.Commit, Applied: m.applied.Load()}
	if leads {
		out.LeaderAddress = m.options.Address
	} else {
		out.LeaderAddress = m.leaderAddress()
	}
	m.mu.RLock()
	out.SettingsVersion = m.state.Version()
	out.Assignments = m.state.Assignments()
	members := m.state.Members()
	m.mu.RUnlock()
	for _, a := range members {
		member := &controlv1.MemberStatus{Id: a.Id, Instance: a.Instance, Address: a.Address, Voter: s.Members.IsVoter(a.Id), Leader: a.Id == s.Leader}
		for _, p := range s.Progress {
			if p.ID == a.Id {
				member.Match = p.Match
			}
		}
		out.Members = append(out.Members, member)
	}
	if len(members) == 0 {
		out.Members = []*controlv1.MemberStatus{{Id: s.ID, Instance: m.options.Instance, Address: m.options.Address}}
	}
	if leads {
		out.Entries = m.live.applied(m.now())
		out.Groups = m.live.groupReports(out.Assignments)
	}
	return out
}
