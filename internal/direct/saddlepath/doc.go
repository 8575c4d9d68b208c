// Package saddlepath finds chains of engines that run every layer of a model once
// and in order. It is pure.
package saddlepath
