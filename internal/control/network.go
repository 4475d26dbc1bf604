package control

import (
	"context"

	"connectrpc.com/connect"

	"auburnstep.example/auburnstep/internal/rpc/consensusv1"
	"auburnstep.example/auburnstep/internal/rpc/consensusv1/consensusv1connect"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/controlv1/controlv1connect"
	"auburnstep.example/auburnstep/internal/rpc/transport"
)

// Network carries calls from this member to other members.
type Network interface {
	Step(ctx context.Context, address string, r *consensusv1.StepRequest) error
	Snapshot(ctx context.Context, address string, r *consensusv1.SnapshotChunk) (*consensusv1.SnapshotProgress, error)
	Prove(ctx context.Context, address string, r *controlv1.ProveRequest) (*controlv1.ProveResponse, error)
	Status(ctx context.Context, address string) (*controlv1.StatusResponse, error)
	Member(ctx context.Context, address string, r *controlv1.MemberRequest) (*controlv1.MemberResponse, error)
	PutRouting(ctx context.Context, address string, r *controlv1.PutRoutingRequest) (*controlv1.PutRoutingResponse, error)
	Routing(ctx context.Context, address string, r *controlv1.RoutingRequest) (*controlv1.RoutingResponse, error)
}

// NewNetwork returns a Network over the connections of a pool. The pool's
// Options.Sender must be the address of this member.
func NewNetwork(pool *transport.Pool) Network { return rpcNetwork{pool} }

type rpcNetwork struct{ pool *transport.Pool }

// Step implements Network. The call may be repeated, because consensus ignores
// repeated messages.
func (n rpcNetwork) Step(ctx context.Context, address string, r *consensusv1.StepRequest) error {
	_, err := consensusv1connect.NewPeerClient(n.pool.Peer(address).Client()).Step(transport.MarkIdempotent(ctx), connect.NewRequest(r))
	return err
}

// Snapshot implements Network. The call may be repeated, because the receiver
// ignores a chunk that it already has.
func (n rpcNetwork) Snapshot(ctx context.Context, address string, r *consensusv1.SnapshotChunk) (*consensusv1.SnapshotProgress, error) {
	resp, err := consensusv1connect.NewPeerClient(n.pool.Peer(address).Client()).Snapshot(transport.MarkIdempotent(ctx), connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Prove implements Network. The call may be repeated: the proof is then made at a
// later time, which is valid for the polls as well.
func (n rpcNetwork) Prove(ctx context.Context, address string, r *controlv1.ProveRequest) (*controlv1.ProveResponse, error) {
	resp, err := controlv1connect.NewControlClient(n.pool.Peer(address).Client()).Prove(transport.MarkIdempotent(ctx), connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Status implements Network.
func (n rpcNetwork) Status(ctx context.Context, address string) (*controlv1.StatusResponse, error) {
	resp, err := controlv1connect.NewControlClient(n.pool.Peer(address).Client()).Status(transport.MarkIdempotent(ctx), connect.NewRequest(&controlv1.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Member implements Network.
func (n rpcNetwork) Member(ctx context.Context, address string, r *controlv1.MemberRequest) (*controlv1.MemberResponse, error) {
	resp, err := controlv1connect.NewControlClient(n.pool.Peer(address).Client()).Member(transport.MarkIdempotent(ctx), connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// PutRouting implements Network. The call may be repeated, because a table whose
// version is not newer changes nothing.
func (n rpcNetwork) PutRouting(ctx context.Context, address string, r *controlv1.PutRoutingRequest) (*controlv1.PutRoutingResponse, error) {
	resp, err := controlv1connect.NewControlClient(n.pool.Peer(address).Client()).PutRouting(transport.MarkIdempotent(ctx), connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Routing implements Network.
func (n rpcNetwork) Routing(ctx context.Context, address string, r *controlv1.RoutingRequest) (*controlv1.RoutingResponse, error) {
	resp, err := controlv1connect.NewControlClient(n.pool.Peer(address).Client()).Routing(transport.MarkIdempotent(ctx), connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
