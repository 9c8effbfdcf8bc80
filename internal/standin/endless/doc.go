// Package endless stands in for faulty backend servers that send bytes without end.
package endless
