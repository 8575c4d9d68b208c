// Package docs holds the documentation for users, operators and developers.
package docs
