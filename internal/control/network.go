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

// Network carries calls from this member to others.
type Network interface {
	Step(ctx context.Context, address string, r *consensusv1.StepRequest) error
	Snapshot(ctx context.Context, address string, r *consensusv1.SnapshotChunk) (*consensusv1.SnapshotProgress, error)
	Prove(ctx context.Context, address string, r *controlv1.ProveRequest) (*controlv1.ProveResponse, error)
	Status(ctx context.Context, address string) (*controlv1.StatusResponse, error)
	Member(ctx context.Context, address string, r *controlv1.MemberRequest) (*controlv1.MemberResponse, error)
	PutRouting(ctx context.Context, address string, r *controlv1.PutRoutingRequest) (*controlv1.PutRoutingResponse, error)
	Routing(ctx context.Context, address string, r *controlv1.RoutingRequest) (*controlv1.RoutingResponse, error)
}

// NewNetwork returns the network over the connections of a pool. The pool must
// have Options.Sender set to the address of this member.
func NewNetwork(pool *transport.Pool) Network { return rpcNetwork{pool} }

type rpcNetwork struct{ pool *transport.Pool }

// Step implements Network. Messages may be repeated: consensus ignores repeats.
func (n rpcNetwork) Step(ctx context.Context, address string, r *consensusv1.StepRequest) error {
	_, err := consensusv1connect.NewPeerClient(n.pool.Peer(address).Client()).Step(transport.Idempotent(ctx), connect.NewRequest(r))
	return err
}

// Snapshot implements Network. A chunk that the receiver has already is ignored.
func (n rpcNetwork) Snapshot(ctx context.Context, address string, r *consensusv1.SnapshotChunk) (*consensusv1.SnapshotProgress, error) {
	resp, err := consensusv1connect.NewPeerClient(n.pool.Peer(address).Client()).Snapshot(transport.Idempotent(ctx), connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Prove implements Network. The proof of a repeated request is that of a later
// moment, which serves the polls as well.
func (n rpcNetwork) Prove(ctx context.Context, address string, r *controlv1.ProveRequest) (*controlv1.ProveResponse, error) {
	resp, err := controlv1connect.NewControlClient(n.pool.Peer(address).Client()).Prove(transport.Idempotent(ctx), connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Status implements Network.
func (n rpcNetwork) Status(ctx context.Context, address string) (*controlv1.StatusResponse, error) {
	resp, err := controlv1connect.NewControlClient(n.pool.Peer(address).Client()).Status(transport.Idempotent(ctx), connect.NewRequest(&controlv1.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Member implements Network.
func (n rpcNetwork) Member(ctx context.Context, address string, r *controlv1.MemberRequest) (*controlv1.MemberResponse, error) {
	resp, err := controlv1connect.NewControlClient(n.pool.Peer(address).Client()).Member(transport.Idempotent(ctx), connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// PutRouting implements Network. A repeated table changes nothing.
func (n rpcNetwork) PutRouting(ctx context.Context, address string, r *controlv1.PutRoutingRequest) (*controlv1.PutRoutingResponse, error) {
	resp, err := controlv1connect.NewControlClient(n.pool.Peer(address).Client()).PutRouting(transport.Idempotent(ctx), connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Routing implements Network.
func (n rpcNetwork) Routing(ctx context.Context, address string, r *controlv1.RoutingRequest) (*controlv1.RoutingResponse, error) {
	resp, err := controlv1connect.NewControlClient(n.pool.Peer(address).Client()).Routing(transport.Idempotent(ctx), connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
