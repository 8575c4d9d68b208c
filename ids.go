package fireflysaddle

import "strings"

// RequestID identifies a caller's request across all its attempts.
type RequestID string

// Attempt numbers the attempts of one request, from 1.
type Attempt uint32

// TargetID identifies a target across its restarts.
type TargetID string

// NodeID identifies a process of the system across its restarts.
type NodeID string

// Incarnation identifies one run of a process. Later runs of the same process have
// higher incarnations.
type Incarnation uint64

// Workspace names a workspace, the unit of tenancy.
type Workspace string

// Group names a set of interchangeable targets: a model or a plain service.
type Group string

// Version names one version of a model or service.
type Version string

// DataCentre names a failure domain.
type DataCentre string

// Accelerator names a type of accelerator.
type Accelerator string

// Revision numbers the revisions of a configuration object, from 1.
type Revision uint64

// Term numbers the terms of control leaders.
type Term uint64

// Sequence numbers the orders that a leader sends in one term.
type Sequence uint64

// Priority orders requests of one workspace; higher ones go first.
type Priority int32

// Position numbers the tokens of one request.
type Position uint32

// Layer numbers the layers of a model from 0.
type Layer uint32

// Trait identifies something that requests have in common and that may end the targets that
// run them: a PromptPart, or the whole request.
type Trait string

// identicalPrefix begins the traits of IdenticalRequests. It does not occur in the identifiers
// of prompt parts.
const identicalPrefix = "request:"

// IdenticalRequests returns the trait that only requests with a fingerprint have.
func IdenticalRequests(fingerprint string) Trait { return Trait(identicalPrefix + fingerprint) }

// Identical reports whether only identical requests have the trait.
func (t Trait) Identical() bool { return strings.HasPrefix(string(t), identicalPrefix) }

// PromptPart identifies a part of a prompt that several requests may share. It does not
// reveal the text.
type PromptPart string

// RequestRate is a number of requests per second.
type RequestRate float64
