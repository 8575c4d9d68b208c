// Package examples holds the settings, templates and deployments of two fleets.
package examples
