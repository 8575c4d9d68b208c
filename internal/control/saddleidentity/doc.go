// Package saddleidentity stores the identity of a control replica next to its log. A
// replica that lost its disk must not continue under its old identity, because it may
// have cast votes and acknowledged entries that it no longer has.
package saddleidentity
