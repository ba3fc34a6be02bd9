// Package wire converts between the types that the decisions use and the system's own
// messages (package pb).
package wire

import (
	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Kind converts a backend server's kind. Every kind but plain counts as a model engine.
func Kind(k pb.ServerKind) string {
	if k == pb.ServerKind_SERVER_KIND_PLAIN {
		return declaration.KindPlain
	}
	return declaration.KindModel
}

// KindProto is the inverse of Kind.
func KindProto(kind string) pb.ServerKind {
	if kind == declaration.KindPlain {
		return pb.ServerKind_SERVER_KIND_PLAIN
	}
	return pb.ServerKind_SERVER_KIND_MODEL
}

// Role converts an engine's role. It is empty for plain services.
func Role(role pb.EngineRole) decision.Role {
	switch role {
	case pb.EngineRole_ENGINE_ROLE_PREFILL:
		return decision.RolePrefill
	case pb.EngineRole_ENGINE_ROLE_DECODE:
		return decision.RoleDecode
	case pb.EngineRole_ENGINE_ROLE_MIXED:
		return decision.RoleMixed
	default:
		return ""
	}
}

// RoleProto is the inverse of Role. An unknown role becomes unspecified.
func RoleProto(role decision.Role) pb.EngineRole {
	switch role {
	case decision.RolePrefill:
		return pb.EngineRole_ENGINE_ROLE_PREFILL
	case decision.RoleDecode:
		return pb.EngineRole_ENGINE_ROLE_DECODE
	case decision.RoleMixed:
		return pb.EngineRole_ENGINE_ROLE_MIXED
	default:
		return pb.EngineRole_ENGINE_ROLE_UNSPECIFIED
	}
}

// StateProto converts the state that a server reports. Every state but leaving
// and changing counts as serving.
func StateProto(state decision.ServerState) pb.ServerState {
	switch state {
	case decision.StateLeaving:
		return pb.ServerState_SERVER_STATE_LEAVING
	case decision.StateChanging:
		return pb.ServerState_SERVER_STATE_CHANGING
	default:
		return pb.ServerState_SERVER_STATE_SERVING
	}
}
