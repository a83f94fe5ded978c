// Processor time and memory used by a running process, read from /proc.
//
//   double Before = cpuSeconds(Pid);
//   ...
//   double Used = cpuSeconds(Pid) - Before;

#ifndef HAWTHORNROAD_BENCH_PROCESSUSE_H
#define HAWTHORNROAD_BENCH_PROCESSUSE_H

namespace hawthornroad {

// Processor time of all threads of Pid in seconds, user and system together.
// 0 when there is no such process.
double cpuSeconds(int Pid);

// Resident memory of Pid in KiB (VmRSS). 0 when there is no such process.
double residentKiB(int Pid);

} // namespace hawthornroad

#endif // HAWTHORNROAD_BENCH_PROCESSUSE_H
