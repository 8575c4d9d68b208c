// Package examples contains the settings, templates and deployments of two example fleets.
package examples
