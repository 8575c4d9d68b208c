// Package docs holds the documentation for users, operators and developers, and
// tests that compare it with the code.
package docs
