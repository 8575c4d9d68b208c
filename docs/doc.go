// Package docs holds the pages for users, operators and developers.
package docs
