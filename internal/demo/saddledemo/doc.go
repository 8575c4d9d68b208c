// Package saddledemo runs the whole system in one process over loopback, with
// test doubles of the external systems. It checks the guarantees of the system by
// what the engines and services executed.
package saddledemo
