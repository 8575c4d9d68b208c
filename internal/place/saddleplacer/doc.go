// Package saddleplacer lets the leading control replica give engines without
// agents the layers that they are to hold.
package saddleplacer
