package fireflysaddle

// Code is the reason for refusing a request; docs/OPERATIONS.md describes all codes.
type Code string

// The refusal codes.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnauthorized     Code = "unauthorized"
	CodeNotGranted       Code = "not_granted"
	CodeNoTarget         Code = "no_target"
	CodeOverloaded       Code = "overloaded"
	CodeLeaving          Code = "leaving"
	CodeStaleRevision    Code = "stale_revision"
	CodeWrongIncarnation Code = "wrong_incarnation"
	CodeSealed           Code = "sealed"
	CodeDuplicate        Code = "duplicate_attempt"
	CodeUnreachable      Code = "unreachable"
	CodeDeadline         Code = "deadline"
	CodeTargetFailed     Code = "target_failed"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeKeyReused        Code = "key_reused"
	CodeInProgress       Code = "in_progress"
	CodeNoMajority       Code = "no_majority"
	CodeNotReady         Code = "not_ready"
	CodeRevisionConflict Code = "revision_conflict"
	CodeInvalid          Code = "invalid"
	CodeNotFound         Code = "not_found"
	CodeTooLarge         Code = "too_large"
	CodeWrongTarget      Code = "wrong_target"
	CodeAnswerNotKept    Code = "answer_not_kept"
	CodeQuarantined      Code = "quarantined"
)
