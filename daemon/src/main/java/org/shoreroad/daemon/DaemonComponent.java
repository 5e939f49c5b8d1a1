package org.shoreroad.daemon;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;
import org.shoreroad.daemon.kernel.Kernel;
import org.shoreroad.daemon.settings.Settings;

/** Creates the kernel of a process from its settings. */
@Singleton
@Component(modules = DaemonModule.class)
interface DaemonComponent {
  /** Returns the kernel with all services, not started. */
  Kernel kernel();

  /** Creates the component. */
  @Component.Factory
  interface Factory {
    /** Returns the component for these settings. */
    DaemonComponent create(@BindsInstance Settings settings);
  }
}
